/** A least-squares line and its largest relative error. */
export interface LineFit {
  readonly intercept: number;
  readonly slope: number;
  /**
   * Largest vertical distance of a point from the line, relative to the point's
   * value.
   */
  readonly residual: number;
}

/** Fits a line through points by least squares. */
export function fitLine(
  points: readonly (readonly [number, number])[],
): LineFit {
  const count = points.length;
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / count;
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const covariance = mean(points.map(([x, y]) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(([x]) => (x - meanX) ** 2));
  const slope = variance === 0 ? 0 : covariance / variance;
  const intercept = meanY - slope * meanX;
  const residual = Math.max(
    ...points.map(([x, y]) =>
      y === 0 ? 0 : Math.abs((intercept + slope * x - y) / y),
    ),
  );
  return { intercept, slope, residual };
}
