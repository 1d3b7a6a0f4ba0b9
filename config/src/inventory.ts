import { z } from "zod";

const MAX_PORT = 65_535;
const wholeNumberSchema = z.string().regex(/^\d+$/, "a whole number").transform(Number);

/** Schema of one inventory row. Columns that are not named here are ignored. */
export const inventoryRowSchema = z.object({
    address: z.union([z.ipv4(), z.ipv6()], { error: "an IPv4 or IPv6 address" }),
    port: wholeNumberSchema.refine(port => port >= 1 && port <= MAX_PORT, "a port from 1 to 65535"),
    availability_zone: z.string().min(1, "the name of an availability zone"),
    region: z.string().min(1, "the name of a region"),
    service: z.string().min(1, "the name of a service"),
    slots: wholeNumberSchema.refine(slots => slots >= 1, "at least 1 slot"),
    connections: wholeNumberSchema.refine(connections => connections >= 1, "at least 1 connection"),
    state: z.enum(["live", "leaving"], { error: '"live" or "leaving"' }),
});

/** Schema of a target: a server of a service that answers requests. */
export const targetSchema = z.object({
    /** `address:port`, unique in the inventory. */
    id: z.string(),
    address: z.string(),
    port: z.number(),
    availabilityZone: z.string(),
    region: z.string(),
    service: z.string(),
    /** Requests that the target runs at the same time. */
    slots: z.number(),
    /** Connections that the target accepts from all hosts together. */
    connections: z.number(),
    state: z.enum(["live", "leaving"]),
});

export type Target = z.infer<typeof targetSchema>;
