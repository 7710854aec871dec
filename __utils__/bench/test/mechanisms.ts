import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { MECHANISMS } from '@reelspan/utils.bench'
import test from 'ava'

const WORKSPACE = join(import.meta.dirname, '..', '..', '..')

test('the code of each mechanism occurs exactly once in its file', (t) => {
  const timesFound = MECHANISMS.map(({ name, file, find }) => [name, readFileSync(join(WORKSPACE, file), 'utf8').split(find).length - 1])
  t.deepEqual(timesFound.filter(([, times]) => times !== 1), [])
})

test('the test files of each mechanism exist', (t) => {
  const missing = MECHANISMS.flatMap(({ tests }) => tests).filter((file) => !existsSync(join(WORKSPACE, file)))
  t.deepEqual(missing, [])
})
