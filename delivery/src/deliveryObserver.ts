interface ObservedFields {
    readonly request?: string;
    readonly fields?: Readonly<Record<string, string | number | boolean>>;
}

/** Takes the events of delivery, for metrics and the time line. Names are a small fixed set. */
export type DeliveryObserver = (event: string, observed?: ObservedFields) => void;
