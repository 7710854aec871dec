import { main } from '../cli/reelspan/src/main.ts'

process.exitCode = await main(process.argv.slice(2))
