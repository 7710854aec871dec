import { join } from 'node:path'
import { checkMechanisms } from '../lib/index.js'

await checkMechanisms(join(import.meta.dirname, '..', '..', '..'), process.argv.slice(2))
