import type { DocumentName } from "@pistachioreel/documents";

/** Documents that operators change by commands. */
export type OperatorDocument = Extract<DocumentName, "config" | "keys" | "plan">;
