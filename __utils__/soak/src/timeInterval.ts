/** A time interval on `performance.now()`. */
export interface TimeInterval {
  fromMs: number
  toMs: number
}
