interface ObservedFields {
    readonly request?: string;
    readonly fields?: Readonly<Record<string, string | number | boolean>>;
}

/** Receives delivery events for the metrics and the timeline. Event names are a small fixed set. */
export type DeliveryObserver = (event: string, observed?: ObservedFields) => void;
