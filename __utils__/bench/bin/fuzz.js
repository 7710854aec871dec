import { parseArgs } from 'node:util'
import { runFuzz } from '@reelspan/utils.fuzz'

const { values } = parseArgs({ options: { runs: { type: 'string', default: '100' }, seed: { type: 'string' }, path: { type: 'string' } } })
const seed = Number(values.seed ?? Math.floor(Math.random() * 2 ** 31))

console.log(`seed ${seed}, ${values.runs} runs`)
await runFuzz({ seed, runs: Number(values.runs), path: values.path })
console.log('all held')
