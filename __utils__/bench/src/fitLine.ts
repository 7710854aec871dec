/** A linear fit. */
export interface LineFit {
  slope: number
  intercept: number
  /** Maximum deviation of a point from the line, as a share of the largest value. */
  error: number
}

/** Fits a line by least squares. */
export function fitLine (points: readonly { x: number, y: number }[]): LineFit {
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length
  const meanX = mean(points.map(({ x }) => x))
  const meanY = mean(points.map(({ y }) => y))
  const sumOfSquares = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const slope = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / sumOfSquares
  const intercept = meanY - slope * meanX
  const maxDeviation = Math.max(...points.map(({ x, y }) => Math.abs(intercept + slope * x - y)))
  return { slope, intercept, error: maxDeviation / Math.max(...points.map(({ y }) => Math.abs(y))) }
}
