import type { Logger } from "@pistachioreel/logging";
import type { StatementObserver, Target } from "@pistachioreel/placement";
import type { GatewayMetrics } from "./gatewayMetrics.js";

interface StatementLogOptions {
    readonly logger: Logger;
    readonly metrics: GatewayMetrics;
}

/** Logs and counts changes of what targets state of themselves. */
export class StatementLog implements StatementObserver {
    constructor(private readonly opts: StatementLogOptions) {}

    onStatement({ id, service }: Target, statement: string, value?: number): void {
        const { metrics, logger } = this.opts;
        metrics.statements.inc({ statement });
        logger.info({ event: "target-statement", fields: { target: id, service, statement, value } });
    }

    onInvalidHeader({ id }: Target, header: string, isFirst: boolean): void {
        const { metrics, logger } = this.opts;
        metrics.statements.inc({ statement: "invalid" });
        if (isFirst) {
            logger.warn({ event: "target-statement-invalid", fields: { target: id, header } });
        }
    }
}
