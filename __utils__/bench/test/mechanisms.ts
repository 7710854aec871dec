import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { MECHANISMS } from '@reelspan/utils.bench'
import test from 'ava'

const WORKSPACE = join(import.meta.dirname, '..', '..', '..')

test('each mechanism that can be put out of action stands once in its file', (t) => {
  const timesFound = MECHANISMS.map(({ name, file, find }) => [name, readFileSync(join(WORKSPACE, file), 'utf8').split(find).length - 1])
  t.deepEqual(timesFound.filter(([, times]) => times !== 1), [])
})

test('the tests of each mechanism are there', (t) => {
  const missing = MECHANISMS.flatMap(({ tests }) => tests).filter((file) => !existsSync(join(WORKSPACE, file)))
  t.deepEqual(missing, [])
})
