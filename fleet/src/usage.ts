/** Requests received and admitted, by a host or by several. */
export type Usage = readonly [requested: number, admitted: number];
