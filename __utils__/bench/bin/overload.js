import { measureOverload } from '../lib/index.js'

await measureOverload()
