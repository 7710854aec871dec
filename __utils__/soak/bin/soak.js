import { main } from '../lib/index.js'

process.exit(await main(process.argv.slice(2)))
