import { measureOverload } from '../lib/measureOverload.js'

await measureOverload()
