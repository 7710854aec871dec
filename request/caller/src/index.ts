export { RelayCaller } from './relayCaller.js'
