/** A line through measured points. */
export interface LinearFit {
    readonly slope: number;
    readonly intercept: number;
    /** Share of the variance that the line explains; 1 is a perfect fit. */
    readonly r2: number;
}

/** Fits a line by least squares. At least two points with different `x` are needed. */
export function linearFit(points: readonly (readonly [x: number, y: number])[]): LinearFit {
    const count = points.length;
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
    const xx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    const xy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const yy = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
    const slope = xy / xx;
    return { slope, intercept: meanY - slope * meanX, r2: yy === 0 ? 1 : xy ** 2 / (xx * yy) };
}
