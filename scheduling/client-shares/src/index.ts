export { ClientShares } from './clientShares.js'
