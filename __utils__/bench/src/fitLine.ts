/** A straight line through measured points. */
export interface LineFit {
  perUnit: number
  base: number
  /** Largest distance of a point from the line, as a part of the largest value. */
  error: number
}

/** Least squares. */
export function fitLine (points: readonly { x: number, y: number }[]): LineFit {
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(points.map(({ x }) => x))
  const meanY = mean(points.map(({ y }) => y))
  const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const perUnit = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / spread
  const base = meanY - perUnit * meanX
  const worst = Math.max(...points.map(({ x, y }) => Math.abs(base + perUnit * x - y)))
  return { perUnit, base, error: worst / Math.max(...points.map(({ y }) => Math.abs(y))) }
}
