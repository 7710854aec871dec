export { HttpPlatformReader } from './httpPlatformReader.js'
export type { HttpPlatformReaderOptions } from './httpPlatformReader.js'
