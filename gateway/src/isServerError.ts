const FIRST_SERVER_ERROR = 500;

/** Whether the status code is a server error (5xx), with which the target reports a failure of its own. */
export function isServerError(status: number): boolean {
    return status >= FIRST_SERVER_ERROR;
}
