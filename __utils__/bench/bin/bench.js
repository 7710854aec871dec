import { bench } from '../lib/index.js'

await bench(process.argv.slice(2))
