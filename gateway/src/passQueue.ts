/** Tasks in one iteration of the event loop; the rest of it is for callers that do not send ahead. */
const TASKS_PER_ITERATION = 8;

/** Runs tasks in their order, a few in each iteration of the event loop, so that other events are handled between them. */
export class PassQueue {
    private readonly tasks = new Set<() => void>();
    private isScheduled = false;

    add(task: () => void): void {
        this.tasks.add(task);
        this.schedule();
    }

    private schedule(): void {
        if (!this.isScheduled) {
            this.isScheduled = true;
            setImmediate(() => this.run());
        }
    }

    private run(): void {
        this.isScheduled = false;
        let count = 0;
        for (const task of this.tasks) {
            if (count++ === TASKS_PER_ITERATION) {
                break;
            }
            // Removed before it runs, as it may add itself again.
            this.tasks.delete(task);
            task();
        }
        if (this.tasks.size > 0) {
            this.schedule();
        }
    }
}
