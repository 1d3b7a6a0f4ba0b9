import { Failure } from "@pistachioreel/result-code";

/** Maps an error of Node's HTTP parser (`clientError`) to a result code; `requestMalformed` for all other errors. */
export function failureFromParserError(error: NodeJS.ErrnoException): Failure {
    switch (error.code) {
        case "HPE_HEADER_OVERFLOW":
            return new Failure("headerTooLarge");
        case "ERR_HTTP_REQUEST_TIMEOUT":
            return new Failure("requestTimeout");
        default:
            return new Failure("requestMalformed");
    }
}
