/** Control characters other than tabs, and blanks at either end, which the recipient of a header removes. */
const UNFIT_PATTERN = /[\x00-\x08\x0a-\x1f\x7f]|^[\t ]|[\t ]$/;

/** Whether the recipient of a header that holds this text, encoded by `encodeHeaderText`, reads the same text. */
export function isHeaderText(text: string): boolean {
    return text.length > 0 && text.isWellFormed() && !UNFIT_PATTERN.test(text);
}
