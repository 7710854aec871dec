import { AnswerEventKind } from '@reelspan/core.messages'
import { Verdict } from '@reelspan/core.error'
import { SystemClock } from '@reelspan/net.system-env'
import { RecordStore } from '@reelspan/request.records'

/** Cost of a request record at a box. */
export interface RecordCost {
  tokens: number
  heapBytesPerRecord: number
  /** Size that the store counts against its limit. */
  countedBytesPerRecord: number
  microsecondsPerRecord: number
}

const RECORDS = 20_000

/** Measures a record store filled with finished answers of the given length. Requires `--expose-gc`. */
export function measureRecords (tokens: number): RecordCost {
  const store = new RecordStore({ clock: new SystemClock(), maxBytes: Number.MAX_SAFE_INTEGER, recordTtlMs: 600_000 })
  globalThis.gc?.()
  const heapBefore = process.memoryUsage().heapUsed
  const cpuBefore = process.cpuUsage()
  for (let i = 0; i < RECORDS; i++) {
    const key = `rs1-${'k'.repeat(60)}-12345678.${i}`
    const record = store.open(key, 'f'.repeat(32), tokens * 80)
    for (let index = 0; index < tokens; index++) record.append({ kind: AnswerEventKind.Token, index, text: `t${index}` }, i)
    record.append({ kind: AnswerEventKind.Final, verdict: Verdict.Finished, eventCount: tokens }, i)
    store.close(key)
  }
  const { user, system } = process.cpuUsage(cpuBefore)
  globalThis.gc?.()
  return {
    tokens,
    heapBytesPerRecord: (process.memoryUsage().heapUsed - heapBefore) / RECORDS,
    countedBytesPerRecord: store.bytes / RECORDS,
    microsecondsPerRecord: (user + system) / RECORDS,
  }
}
