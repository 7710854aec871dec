export { Placer } from './placer.js'
export type { PlaceRequest, PlaceOptions, Placement } from './placer.js'
