export { parseSettings } from './parseSettings.js'
export { settingsSchema } from './settingsSchema.js'
export type { Settings } from './settingsSchema.js'
