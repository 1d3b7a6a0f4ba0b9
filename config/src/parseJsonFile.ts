import { Failure } from "@pistachioreel/result-code";
import {
    findNodeAtLocation,
    getNodeValue,
    type Node,
    type ParseError,
    parseTree,
    printParseErrorCode,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import { fieldFailure } from "./fieldFailure.js";
import { locateOffset } from "./locateOffset.js";

/**
 * Parses JSON with comments and validates it against a schema.
 *
 * @param file Name of the file in error messages.
 * @returns The value, or all failures with their positions.
 */
export function parseJsonFile<S extends z.ZodType>(
    file: string,
    text: string,
    schema: S,
): Result<z.output<S>, Failure[]> {
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true });
    if (errors.length > 0 || root === undefined) {
        return err(syntaxFailures(file, text, errors));
    }
    const checked = schema.safeParse(getNodeValue(root));
    if (checked.success) {
        return ok(checked.data);
    }
    return err(checked.error.issues.flatMap(issue => issueFailures(file, text, root, issue)));
}

function syntaxFailures(file: string, text: string, errors: readonly ParseError[]): Failure[] {
    if (errors.length === 0) {
        return [new Failure("syntaxInvalid", `${file}: the file is empty`)];
    }
    return errors.map(error =>
        fieldFailure("syntaxInvalid", {
            file,
            ...locateOffset(text, error.offset),
            field: "syntax",
            found: JSON.stringify(text.slice(error.offset, error.offset + Math.max(error.length, 1))),
            accepted: `JSON with comments (${printParseErrorCode(error.error)})`,
        })
    );
}

function issueFailures(file: string, text: string, root: Node, issue: z.core.$ZodIssue): Failure[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => issueFailure(file, text, root, [...issue.path, key], "no such field"));
    }
    return [issueFailure(file, text, root, issue.path, issue.message)];
}

function issueFailure(
    file: string,
    text: string,
    root: Node,
    path: readonly PropertyKey[],
    accepted: string,
): Failure {
    const segments = path.map(segment => typeof segment === "symbol" ? String(segment) : segment);
    const node = findNodeAtLocation(root, segments);
    const positionNode = node ?? nearestExistingNode(root, segments);
    return fieldFailure(node === undefined ? "fieldMissing" : "fieldInvalid", {
        file,
        ...locateOffset(text, positionNode.offset),
        field: segments.join(".") || "file",
        found: node === undefined ? "nothing" : JSON.stringify(getNodeValue(node)),
        accepted,
    });
}

/** Returns the node of the closest enclosing object or array that exists, to give a missing field a position. */
function nearestExistingNode(root: Node, segments: readonly (string | number)[]): Node {
    for (let length = segments.length - 1; length > 0; length--) {
        const node = findNodeAtLocation(root, segments.slice(0, length));
        if (node !== undefined) {
            return node;
        }
    }
    return root;
}
