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
 * The hosts that own a share of each limit and count for a quorum. Immutable. Consecutive rosters differ by one member,
 * so that any majority of one has a host in common with any majority of the next.
 */
export class Roster {
    private constructor(private readonly content: RosterContent) {}

    /** Failure: `documentDamaged`. */
    static fromContent(content: string): Result<Roster, Failure> {
        try {
            return ok(new Roster(contentSchema.parse(JSON.parse(content))));
        }
        catch (cause) {
            return err(new Failure("documentDamaged", "the stored roster does not match its schema", { cause }));
        }
    }

    /** The first roster of a fleet. Nobody owned a share before, so it may have any number of members. */
    static create(members: readonly RosterMember[]): Roster {
        return new Roster({ members: [...members], change: { kind: "created" } });
    }

    get members(): readonly RosterMember[] {
        return this.content.members;
    }

    /** The member that this roster has and the one before had not. */
    get added(): RosterMember | undefined {
        return this.content.change.kind === "added" ? this.content.change.member : undefined;
    }

    /** The member that the roster before had and this one has not. */
    get removed(): RosterMember | undefined {
        return this.content.change.kind === "removed" ? this.content.change.member : undefined;
    }

    /** Number of members of the roster before; 0 if there was none. */
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

    add(member: RosterMember): Roster {
        return new Roster({ members: [...this.members, member], change: { kind: "added", member } });
    }

    remove(member: RosterMember): Roster {
        const members = this.members.filter(({ id }) => id !== member.id);
        return new Roster({ members, change: { kind: "removed", member } });
    }

    /** Content for the stored document. */
    toContent(): string {
        return JSON.stringify(this.content);
    }
}
