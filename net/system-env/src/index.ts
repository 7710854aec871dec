export { SystemClock } from './systemClock.js'
export { SystemRandom } from './systemRandom.js'
