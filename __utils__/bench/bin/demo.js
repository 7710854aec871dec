import { demo } from '../lib/index.js'

await demo()
