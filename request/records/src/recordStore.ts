import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { type Clock } from '@reelspan/core.env'
import { type AnswerEvent, AnswerEventKind, type FinalAnswer } from '@reelspan/core.messages'
import { RequestRecord } from './requestRecord.js'

export interface RecordStoreOptions {
  clock: Clock
  /** Bound on the memory of all records, including what is reserved for running requests. */
  maxBytes: number
  /** How long a finished record is kept: longer than the lifetime of a key prefix plus the longest request. */
  recordTtlMs: number
}

/** A record in the form in which it is sent to a successor. */
export interface ExportedRecord {
  key: string
  fingerprint: string
  ageMs: number
  events: AnswerEvent[]
}

/** An incarnation that stopped as planned, and the reading of its clock. */
export interface PredecessorIncarnation {
  incarnation: string
  clockMs: number
}

const RECORD_OVERHEAD_BYTES = 400
/** Retry delay for callers of a box whose record memory is full. */
const FULL_RETRY_AFTER_MS = 1000

interface StoredRecord {
  record: RequestRecord
  /** Bytes counted for this record: the reservation while the request runs, then the actual size. */
  accountedBytes: number
}

/** Stores the request records of one box. When memory is full it refuses new requests rather than evicting records. */
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

  /** Opens a record and reserves memory for an answer of `answerBytes`. Throws `ERR_REELSPAN_RECORDS_FULL`. */
  open (key: string, fingerprint: string, answerBytes: number): RequestRecord {
    this.removeExpired()
    const reservedBytes = RECORD_OVERHEAD_BYTES + 2 * key.length + answerBytes
    if (this.#bytes + reservedBytes > this.#opts.maxBytes) {
      throw new ReelspanError(ErrorCode.RecordsFull, 'the record memory of this box is full', {
        hint: 'Raise requests.recordBytes, or add boxes.',
        retryAfterMs: FULL_RETRY_AFTER_MS,
      })
    }
    const record = new RequestRecord(key, fingerprint, this.#opts.clock.nowMs())
    this.#records.set(key, { record, accountedBytes: reservedBytes })
    this.#bytes += reservedBytes
    return record
  }

  /** Releases the part of the reservation that a finished record does not use. */
  close (key: string): void {
    const stored = this.#records.get(key)
    if (!stored) return
    const usedBytes = RECORD_OVERHEAD_BYTES + 2 * key.length + stored.record.bytes
    this.#bytes += usedBytes - stored.accountedBytes
    stored.accountedBytes = usedBytes
  }

  /** Removes the record of a request that is known not to have run, so that its key can be reused. */
  remove (key: string): void {
    const stored = this.#records.get(key)
    if (!stored) return
    this.#bytes -= stored.accountedBytes
    this.#records.delete(key)
  }

  /**
   * Exports all records for a successor, for which a key without a record has never run. The answer to a request that
   * is still running ends with the verdict that it may have run.
   */
  export (): ExportedRecord[] {
    const nowMs = this.#opts.clock.nowMs()
    return this.all().map(({ key, fingerprint, finishedAtMs = nowMs, final, events }) => ({
      key,
      fingerprint,
      ageMs: nowMs - finishedAtMs,
      events: final ? [...events] : [...events, interruptedByStop(events)],
    }))
  }

  /** Imports some of the records of incarnations that stopped as planned. Throws when the memory is full. */
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

  /** Marks the records of these incarnations as fully imported: an unexpired key of theirs without a record has never run. */
  addPredecessors (incarnations: readonly PredecessorIncarnation[]): void {
    const nowMs = this.#opts.clock.nowMs()
    incarnations.forEach(({ incarnation, clockMs }) => this.#predecessors.set(incarnation, { clockMs, addedAtMs: nowMs }))
  }

  /** Incarnations whose records were all imported, with their estimated present clock readings. */
  predecessors (): PredecessorIncarnation[] {
    return [...this.#predecessors.keys()].map((incarnation) => ({ incarnation, clockMs: this.estimateClockMs(incarnation) as number }))
  }

  /**
   * Estimates the present clock reading of a predecessor, from which the age of its keys follows.
   * No two clocks are compared: the estimate is the predecessor's last reading plus the time that has
   * passed here since.
   */
  estimateClockMs (incarnation: string): number | undefined {
    const predecessor = this.#predecessors.get(incarnation)
    return predecessor && predecessor.clockMs + this.#opts.clock.nowMs() - predecessor.addedAtMs
  }

  /** Removes finished records that are older than any possible retry. */
  removeExpired (): void {
    const oldestMs = this.#opts.clock.nowMs() - this.#opts.recordTtlMs
    // Records finish roughly in insertion order, so the scan can stop at the first unexpired one.
    for (const [key, { record }] of this.#records) {
      if (record.finishedAtMs === undefined) continue
      if (record.finishedAtMs > oldestMs) break
      this.remove(key)
    }
  }
}

function interruptedByStop (events: readonly AnswerEvent[]): FinalAnswer {
  return { kind: AnswerEventKind.Final, verdict: Verdict.MayHaveRun, code: ErrorCode.Draining, message: 'the owner of this key stopped while the request was running', eventCount: events.length }
}
