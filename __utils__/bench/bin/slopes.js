import { slopes } from '../lib/index.js'

await slopes(process.argv.slice(2))
