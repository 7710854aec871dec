import { measureHolds } from '../lib/index.js'

await measureHolds()
