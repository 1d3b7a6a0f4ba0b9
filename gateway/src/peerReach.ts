import type { PeerIdentity, PeerMesh } from "@pistachioreel/peering";
import { type Target, targetKey } from "@pistachioreel/placement";
import { z } from "zod";
import { shuffled } from "./shuffled.js";

interface PeerReachOptions {
    readonly mesh: PeerMesh;
    /** Tries the targets for a peer that asks; resolves to what this host can say of them. */
    readonly tryTargets: () => Promise<PeerReachState>;
    /** Tries one target, by its key, for a peer that has lost it. */
    readonly tryTarget: (key: string) => Promise<boolean>;
}

const MESSAGE_TYPE = "target-reach";
const LOST_TARGET_TYPE = "lost-target";
const stateSchema = z.enum(["reachable", "cutOff", "unreachable"]);

/**
 * What a host says of the targets: it reaches some; it reaches none, but another host does; or it reaches none and knows of
 * no host that does.
 */
type PeerReachState = z.infer<typeof stateSchema>;

const lostTargetSchema = z.object({ target: z.string().max(300), isPassedOn: z.boolean() });

const MAX_ASKED_PEERS = 4;
const REPLY_TIMEOUT_MS = 500;
/** Time for the replies of the hosts that an asked host asks in turn. */
const PASSED_ON_TIMEOUT_MS = 350;

/** Asks linked hosts whether they reach the targets, or one of them, which tells targets that are down from a lost way to them. */
export class PeerReach {
    constructor(private readonly opts: PeerReachOptions) {
        opts.mesh.registerHandler(
            MESSAGE_TYPE,
            async () => ({ type: MESSAGE_TYPE, state: await opts.tryTargets() }),
        );
        opts.mesh.registerHandler(LOST_TARGET_TYPE, async (from, message) => {
            const parsed = lostTargetSchema.safeParse(message);
            const isReached = parsed.success && await this.tryForPeer(from, parsed.data);
            return { type: LOST_TARGET_TYPE, isReached };
        });
    }

    /**
     * Asks some linked hosts. `undefined` if none has replied in time; otherwise whether any of them reaches targets or knows
     * of a host that does.
     */
    async ask(): Promise<boolean | undefined> {
        const { mesh } = this.opts;
        const asked = shuffled(mesh.peers()).slice(0, MAX_ASKED_PEERS);
        const replies = await Promise.all(
            asked.map(({ hostId }) => mesh.request(hostId, { type: MESSAGE_TYPE }, REPLY_TIMEOUT_MS)),
        );
        const states = replies.flatMap(reply =>
            reply.isErr() ? [] : stateSchema.safeParse(reply.value["state"]).data ?? []
        );
        return states.length === 0 ? undefined : states.some(state => state !== "unreachable");
    }

    /** Asks some linked hosts, and through them some of theirs, whether any reaches a target that this host has lost. */
    reachesElsewhere(target: Target): Promise<boolean> {
        return this.askAbout(targetKey(target), this.opts.mesh.peers(), false);
    }

    private async tryForPeer(
        { hostId, availabilityZone }: PeerIdentity,
        { target, isPassedOn }: z.infer<typeof lostTargetSchema>,
    ): Promise<boolean> {
        const isElsewhere = (peer: PeerIdentity) =>
            peer.hostId !== hostId && peer.availabilityZone !== availabilityZone;
        const others = isPassedOn ? [] : this.opts.mesh.peers().filter(isElsewhere);
        const results = await Promise.all([this.opts.tryTarget(target), this.askAbout(target, others, true)]);
        return results.includes(true);
    }

    private async askAbout(target: string, peers: readonly PeerIdentity[], isPassedOn: boolean): Promise<boolean> {
        const message = { type: LOST_TARGET_TYPE, target, isPassedOn };
        const timeoutMs = isPassedOn ? PASSED_ON_TIMEOUT_MS : REPLY_TIMEOUT_MS;
        const asked = shuffled(peers).slice(0, MAX_ASKED_PEERS);
        const replies = await Promise.all(
            asked.map(({ hostId }) => this.opts.mesh.request(hostId, message, timeoutMs)),
        );
        return replies.some(reply => reply.isOk() && reply.value["isReached"] === true);
    }
}
