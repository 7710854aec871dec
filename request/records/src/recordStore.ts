import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { type Clock } from '@reelspan/core.env'
import { type AnswerEvent } from '@reelspan/core.messages'
import { RequestRecord } from './requestRecord.js'

export interface RecordStoreOptions {
  clock: Clock
  /** Records and the room set aside for running ones stay below this. */
  maxBytes: number
  /** How long a finished record is kept: longer than a key prefix lives plus the longest request. */
  recordLifeMs: number
}

/** A finished record on its way to a successor. */
export interface ExportedRecord {
  key: string
  fingerprint: string
  ageMs: number
  events: AnswerEvent[]
}

/** An incarnation that stopped as planned, and its own clock's reading. */
export interface PredecessorIncarnation {
  incarnation: string
  clockMs: number
}

const RECORD_OVERHEAD_BYTES = 400
/** When to come back to a box whose records fill its memory. */
const FULL_RETRY_AFTER_MS = 1000

interface StoredRecord {
  record: RequestRecord
  /** Room set aside while the answer grows. */
  accountedBytes: number
}

/** The records of one box. Never drops one early: near its bound, new requests are refused instead. */
export class RecordStore {
  readonly #opts: RecordStoreOptions
  readonly #records = new Map<string, StoredRecord>()
  readonly #predecessors = new Map<string, { clockMs: number, addedAtMs: number }>()
  #bytes = 0

  constructor (opts: RecordStoreOptions) {
    this.#opts = opts
  }

  get bytes (): number {
    return this.#bytes
  }

  get size (): number {
    return this.#records.size
  }

  get (key: string): RequestRecord | undefined {
    return this.#records.get(key)?.record
  }

  all (): RequestRecord[] {
    return [...this.#records.values()].map(({ record }) => record)
  }

  running (): RequestRecord[] {
    return this.all().filter(({ final }) => !final)
  }

  /** Opens a record, with room for an answer of `answerBytes`. Throws `ERR_REELSPAN_RECORDS_FULL`. */
  open (key: string, fingerprint: string, answerBytes: number): RequestRecord {
    this.removeExpired()
    const reservedBytes = RECORD_OVERHEAD_BYTES + 2 * key.length + answerBytes
    if (this.#bytes + reservedBytes > this.#opts.maxBytes) {
      throw new ReelspanError(ErrorCode.RecordsFull, 'this box has no room for another record', {
        hint: 'Raise requests.recordBytes, or add boxes.',
        retryAfterMs: FULL_RETRY_AFTER_MS,
      })
    }
    const record = new RequestRecord(key, fingerprint, this.#opts.clock.nowMs())
    this.#records.set(key, { record, accountedBytes: reservedBytes })
    this.#bytes += reservedBytes
    return record
  }

  /** Gives back the room that a finished record does not need. */
  close (key: string): void {
    const stored = this.#records.get(key)
    if (!stored) return
    const usedBytes = RECORD_OVERHEAD_BYTES + 2 * key.length + stored.record.bytes
    this.#bytes += usedBytes - stored.accountedBytes
    stored.accountedBytes = usedBytes
  }

  /** Forgets a request that is known not to have run, so that its key may be used again. */
  remove (key: string): void {
    const stored = this.#records.get(key)
    if (!stored) return
    this.#bytes -= stored.accountedBytes
    this.#records.delete(key)
  }

  /** Finished records, for a successor. */
  export (): ExportedRecord[] {
    const nowMs = this.#opts.clock.nowMs()
    return this.all()
      .filter(({ final }) => final)
      .map((record) => ({
        key: record.key,
        fingerprint: record.fingerprint,
        ageMs: nowMs - (record.finishedAtMs as number),
        events: [...record.events],
      }))
  }

  /** Takes over a part of the records of incarnations that stopped as planned. Throws when there is no room. */
  import (records: readonly ExportedRecord[]): void {
    const nowMs = this.#opts.clock.nowMs()
    records
      .filter(({ key }) => !this.#records.has(key))
      .forEach(({ key, fingerprint, ageMs, events }) => {
        const record = this.open(key, fingerprint, 0)
        events.forEach((event) => record.append(event, nowMs - ageMs))
        this.close(key)
      })
  }

  /** All records of these incarnations are here: a young key of theirs without a record never ran. */
  markTaken (incarnations: readonly PredecessorIncarnation[]): void {
    const nowMs = this.#opts.clock.nowMs()
    incarnations.forEach(({ incarnation, clockMs }) => this.#predecessors.set(incarnation, { clockMs, addedAtMs: nowMs }))
  }

  /** Incarnations whose records were all taken over, with their clocks as of now. */
  taken (): PredecessorIncarnation[] {
    return [...this.#predecessors.keys()].map((incarnation) => ({ incarnation, clockMs: this.clockOf(incarnation) as number }))
  }

  /**
   * What the clock of a taken incarnation would show now, so that the age of
   * its keys can be told. No two clocks are compared: it is that clock's last
   * reading plus the time that has passed here.
   */
  clockOf (incarnation: string): number | undefined {
    const predecessor = this.#predecessors.get(incarnation)
    return predecessor && predecessor.clockMs + this.#opts.clock.nowMs() - predecessor.addedAtMs
  }

  /** Forgets finished records that have outlived every retry. */
  removeExpired (): void {
    const oldestMs = this.#opts.clock.nowMs() - this.#opts.recordLifeMs
    // Insertion order is close to finishing order, so the scan ends early.
    for (const [key, { record }] of this.#records) {
      if (record.finishedAtMs === undefined) continue
      if (record.finishedAtMs > oldestMs) break
      this.remove(key)
    }
  }
}
