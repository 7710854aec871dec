import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { LogEvent } from '@reelspan/telemetry.log'
import test from 'ava'

const PAGE = readFileSync(join(import.meta.dirname, '../../../docs/OPERATIONS.md'), 'utf8')

test('the operator\'s page explains each log event', (t) => {
  t.deepEqual(Object.values(LogEvent).filter((event) => !PAGE.includes(`\`${event}\``)), [])
})
