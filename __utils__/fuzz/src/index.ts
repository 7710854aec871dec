export { runFuzz } from './runFuzz.js'
export type { FuzzOptions } from './runFuzz.js'
