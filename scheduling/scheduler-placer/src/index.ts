export { SchedulerPlacer } from './schedulerPlacer.js'
export type { SchedulerPlacerOptions } from './schedulerPlacer.js'
