import { z } from "zod";

const MS_PER_SECOND = 1_000;

/** Schema of a duration as text: a number with the unit `ms` or `s`, such as `1500ms` or `2.5s`. Parsed to ms. */
export const durationSchema = z.string().regex(/^\d+(\.\d+)?(ms|s)$/, "a number with ms or s")
    .transform(text => Number.parseFloat(text) * (text.endsWith("ms") ? 1 : MS_PER_SECOND))
    .refine(Number.isFinite, "a finite number");
