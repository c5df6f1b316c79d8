/**
 * Fits straight lines to measurements.
 *
 * @module
 */

/** One measurement. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A fitted line; `residual` is the largest vertical distance of a point. */
export interface FittedLine {
  readonly slope: number;
  readonly intercept: number;
  readonly residual: number;
}

/**
 * Fits a line by least squares.
 *
 * @example
 * ```ts
 * fitLine([{ x: 0, y: 1 }, { x: 1, y: 3 }]).slope; // 2
 * ```
 */
export function fitLine(points: readonly Point[]): FittedLine {
  const n = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / n;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / n;
  const sxx = points.reduce((sum, p) => sum + (p.x - meanX) ** 2, 0);
  const sxy = points.reduce((s, p) => s + (p.x - meanX) * (p.y - meanY), 0);
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const intercept = meanY - slope * meanX;
  const residual = Math.max(
    ...points.map((p) => Math.abs(p.y - intercept - slope * p.x)),
  );
  return { slope, intercept, residual };
}
