export { HoldSweeper, ReleaseReason } from './holdSweeper.js'
export type { HoldSweeperOptions } from './holdSweeper.js'
