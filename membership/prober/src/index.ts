export { Prober } from './prober.js'
export type { ProberOptions } from './prober.js'
export { watchedMembers } from './watchedMembers.js'
