import { z } from "zod";

const MAX_PORT = 65_535;
const wholeNumberSchema = z.string().regex(/^\d+$/, "a whole number").transform(Number);

/** Schema of one row of the inventory. Other columns are ignored. */
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

/** Schema of a target: a server that processes requests of one service. */
export const targetSchema = z.object({
    /** `address:port`, with brackets around an IPv6 address; unique in the inventory. */
    id: z.string(),
    address: z.string(),
    port: z.number(),
    availabilityZone: z.string(),
    region: z.string(),
    service: z.string(),
    /** Number of requests that the target can process at the same time. */
    slots: z.number(),
    /** Number of connections that the target accepts from all hosts together. */
    connections: z.number(),
    state: z.enum(["live", "leaving"]),
});

/** A server that processes requests of one service. */
export type Target = z.infer<typeof targetSchema>;
