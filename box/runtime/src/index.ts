export { createBox } from './createBox.js'
export { Box } from './box.js'
export type { BoxEnvironment } from './boxEnvironment.js'
export type { ResourceView, ResourceStatus, ResourceApi } from './resourceApi.js'
