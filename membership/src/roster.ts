import { Failure } from "@pistachioreel/result-code";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { type RosterMember, rosterMemberSchema } from "./rosterMember.js";

const contentSchema = z.object({
    members: z.array(rosterMemberSchema),
    change: z.object({ kind: z.enum(["created", "added", "removed"]), member: rosterMemberSchema.optional() }),
});

type RosterContent = z.infer<typeof contentSchema>;

/**
 * Immutable list of the hosts that own a share of each limit and count towards a quorum. Consecutive rosters differ by
 * one member, so that any majority of one has a host in common with any majority of the next.
 */
export class Roster {
    private constructor(private readonly content: RosterContent) {}

    /** Parses the content of the stored document. Failure: `documentDamaged`. */
    static fromContent(content: string): Result<Roster, Failure> {
        try {
            return ok(new Roster(contentSchema.parse(JSON.parse(content))));
        }
        catch (cause) {
            return err(new Failure("documentDamaged", "the stored roster does not match its schema", { cause }));
        }
    }

    /** Creates the first roster of a fleet. No host owned a share before, so it may have any number of members. */
    static create(members: readonly RosterMember[]): Roster {
        return new Roster({ members: [...members], change: { kind: "created" } });
    }

    get members(): readonly RosterMember[] {
        return this.content.members;
    }

    /** Member that is new compared to the previous roster. */
    get added(): RosterMember | undefined {
        return this.content.change.kind === "added" ? this.content.change.member : undefined;
    }

    /** Member of the previous roster that is no longer in this one. */
    get removed(): RosterMember | undefined {
        return this.content.change.kind === "removed" ? this.content.change.member : undefined;
    }

    /** Number of members of the previous roster; 0 if there was none. */
    get previousSize(): number {
        const difference = { created: -this.members.length, added: -1, removed: 1 }[this.content.change.kind];
        return this.members.length + difference;
    }

    has(id: string, incarnation: string): boolean {
        return this.members.some(member => member.id === id && member.incarnation === incarnation);
    }

    find(id: string): RosterMember | undefined {
        return this.members.find(member => member.id === id);
    }

    /** Returns the next roster, with one more member. */
    add(member: RosterMember): Roster {
        return new Roster({ members: [...this.members, member], change: { kind: "added", member } });
    }

    /** Returns the next roster, without a member. */
    remove(member: RosterMember): Roster {
        const members = this.members.filter(({ id }) => id !== member.id);
        return new Roster({ members, change: { kind: "removed", member } });
    }

    /** Serializes the roster to the content of the stored document. */
    toContent(): string {
        return JSON.stringify(this.content);
    }
}
