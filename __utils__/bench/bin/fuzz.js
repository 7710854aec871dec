import { parseArgs } from 'node:util'
import { runFuzz } from '@reelspan/utils.fuzz'

const { values } = parseArgs({ options: { runs: { type: 'string', default: '100' }, seed: { type: 'string' }, path: { type: 'string' }, 'no-shrink': { type: 'boolean', default: false } } })
const seed = Number(values.seed ?? Math.floor(Math.random() * 2 ** 31))

console.log(`seed ${seed}, ${values.runs} runs`)
await runFuzz({ seed, runs: Number(values.runs), path: values.path, noShrink: values['no-shrink'] })
console.log('all properties held')
