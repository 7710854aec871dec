export { SystemClock } from './systemClock.js'
export { SystemRandom } from './systemRandom.js'
export { closeServers } from './closeServers.js'
export { listenAt } from './listenAt.js'
