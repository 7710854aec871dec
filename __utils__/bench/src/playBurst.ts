import { setMaxListeners } from 'node:events'
import { UpstreamKind } from '@reelspan/config.fleet'
import { checkResources } from '@reelspan/config.resources'
import { type PlacementPlan, PlacementOutcome, type ReserveRequest, UpstreamOutcome } from '@reelspan/core.messages'
import { createPrefixIndex, PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { ShardScheduler } from '@reelspan/scheduling.scheduler'
import { type Shard } from '@reelspan/scheduling.shards'
import { SeededRandom, sampleDeclarations, VirtualClock } from '@reelspan/utils.fakes'
import { type EngineReport, EngineRole } from '@reelspan/upstream.client'

/** A pool and its load. The pool's capacity is the rate at which its slots become free when all are taken. */
export interface BurstShape {
  prefillEngines: number
  decodeEngines: number
  slots: number
  /** Number of requests that fit into the memory of a decode engine. */
  requestsInMemory: number
  maxTokens: number
  promptTokens: number
  prefillTokensPerMs: number
  stepMs: number
  /** Factors by which the decode engines take longer than declared, in turn. */
  slowness: readonly number[]
  ttftTargetMs: number
  /** Load before and after the burst, relative to capacity. */
  usualLoad: number
  burstLoad: number
  /** Share of the decode engines that is lost during the burst. */
  lostShare: number
  /** Share of the callers that retry at once, three times, and ignore the retry delay. */
  impatientShare: number
}

export enum BurstPhase {
  Before = 'before',
  Ramp = 'ramp',
  Peak = 'peak',
  End = 'end',
}

/** Results of the callers whose first attempt was in one phase. */
export interface PhaseOutcome {
  callers: number
  /** First token within the target, counted from the first attempt. */
  inTime: number
  late: number
  unserved: number
  refusedFirst: number
  /** First attempts that were refused though a slot was free, with nothing waiting, early enough to serve them in time. */
  refusedWithRoom: number
  /** Attempts that were refused while a slot was free and nothing waited. */
  refusedFree: number
  /** Attempts that were refused while less than half of the slots were taken and nothing waited. */
  refusedIdle: number
  /** Time that attempts waited before they were refused or given up. */
  heldInVainMs: number
  dueRetries: number
  dueRetriesPlaced: number
  /** Retries with a promised slot that were refused. */
  promisesBroken: number
  /** Slots that were free with nothing waiting while callers waited for their retry delay, times the time. */
  idleSlotMs: number
}

export const BURST_SHAPES: Readonly<Record<string, BurstShape>> = {
  memory: { prefillEngines: 4, decodeEngines: 10, slots: 12, requestsInMemory: 7, maxTokens: 6000, promptTokens: 5200, prefillTokensPerMs: 55.6, stepMs: 0.65, slowness: [1], ttftTargetMs: 809, usualLoad: 0.75, burstLoad: 2, lostShare: 0, impatientShare: 0.3 },
  uneven: { prefillEngines: 4, decodeEngines: 10, slots: 12, requestsInMemory: 7, maxTokens: 6000, promptTokens: 5200, prefillTokensPerMs: 55.6, stepMs: 0.57, slowness: [0.7, 0.7, 1.7], ttftTargetMs: 909, usualLoad: 0.75, burstLoad: 2, lostShare: 0, impatientShare: 0.3 },
  small: { prefillEngines: 1, decodeEngines: 2, slots: 4, requestsInMemory: 4, maxTokens: 800, promptTokens: 1000, prefillTokensPerMs: 55.6, stepMs: 0.65, slowness: [1], ttftTargetMs: 809, usualLoad: 0.75, burstLoad: 2, lostShare: 0, impatientShare: 0.3 },
  prefill: { prefillEngines: 2, decodeEngines: 10, slots: 12, requestsInMemory: 12, maxTokens: 600, promptTokens: 5200, prefillTokensPerMs: 55.6, stepMs: 0.65, slowness: [1], ttftTargetMs: 809, usualLoad: 0.75, burstLoad: 2, lostShare: 0, impatientShare: 0.3 },
}

const WARM_UP_MS = 10_000
const BURST_MS = 4000
/** Callers of the first second of a burst count as its ramp. */
const RAMP_MS = 1000
const END_MS = 4000
const LOST_AFTER_MS = 1000
const LOST_FOR_MS = 3000
const DEADLINE_MS = 14_000
/** Callers disconnect if they have no first token after this many targets. */
const PATIENCE_TARGETS = 4
const IMPATIENT_RETRIES = 3
const IMPATIENT_GAP_MS = 15
/** Callers honour a retry delay of up to this share of their remaining time. */
const HONOURED_SHARE = 1 / 3
const SAMPLE_MS = 10
/** Answers have this share of their maximum length, uniformly distributed. */
const ANSWER_SHARE = { min: 0.6, max: 1 }
/** More than there are callers in a run. */
const CALLERS_PER_SEED = 100_000
const KV_BYTES_PER_TOKEN = 1000

/** Plays a burst against a scheduler on a virtual clock, with the calls that owners make to it and the retries of callers. */
export async function playBurst (shape: BurstShape, { seed = 1 }: { seed?: number } = {}): Promise<Record<BurstPhase, PhaseOutcome>> {
  return new BurstPlayer(shape, seed).play()
}

class BurstPlayer {
  readonly #shape: BurstShape
  readonly #seed: number
  readonly #random: SeededRandom
  readonly #clock = new VirtualClock()
  readonly #scheduler: ShardScheduler
  readonly #startedAtMs = this.#clock.nowMs()
  readonly #outcomes = { [BurstPhase.Before]: emptyOutcome(), [BurstPhase.Ramp]: emptyOutcome(), [BurstPhase.Peak]: emptyOutcome(), [BurstPhase.End]: emptyOutcome() }
  readonly #prefillFreeAtMs = new Map<string, number>()
  readonly #lost = new Map<string, AbortController>()
  /** Times at which a slot was free and nothing waited. */
  readonly #roomAtMs: number[] = []
  readonly #refusedFirst: { phase: BurstPhase, atMs: number, untilMs: number }[] = []
  readonly #promised = new Set<string>()
  #sleeping = 0
  #sequence = 0
  #done = false

  constructor (shape: BurstShape, seed: number) {
    this.#shape = shape
    this.#seed = seed
    this.#random = new SeededRandom(seed)
    this.#scheduler = new ShardScheduler({ clock: this.#clock, shard: shardOf(shape), route: () => undefined, index: createPrefixIndex(PrefixIndexKind.Events), maxReportAgeMs: Number.POSITIVE_INFINITY, onAdmission: (requestId, { promised }) => { if (promised) this.#promised.add(requestId) } })
    const { prefillEngines, decodeEngines } = this.#scheduler.ledger.shard
    prefillEngines.forEach(({ name }) => this.#scheduler.recordReport(name, idleReport(EngineRole.Prefill)))
    decodeEngines.forEach(({ name }) => {
      this.#scheduler.recordReport(name, idleReport(EngineRole.Decode))
      this.#lost.set(name, createAbort())
    })
  }

  async play (): Promise<Record<BurstPhase, PhaseOutcome>> {
    void this.#loseEngines()
    void this.#sample()
    const callers: Promise<void>[] = []
    const endMs = WARM_UP_MS + BURST_MS + END_MS
    for (let atMs = 0; atMs < endMs; atMs = this.#elapsedMs) {
      const load = phaseAt(atMs) === BurstPhase.Ramp || phaseAt(atMs) === BurstPhase.Peak ? this.#shape.burstLoad : this.#shape.usualLoad
      await this.#clock.advance(-Math.log(1 - this.#random.nextFloat()) / (load * capacityPerMs(this.#shape)))
      callers.push(this.#call())
    }
    await this.#clock.run(Promise.all(callers))
    this.#done = true
    await this.#scheduler.stop()
    this.#refusedFirst.forEach(({ phase, atMs, untilMs }) => {
      if (this.#roomAtMs.some((roomAtMs) => roomAtMs >= atMs && roomAtMs <= untilMs)) this.#outcomes[phase].refusedWithRoom++
    })
    return this.#outcomes
  }

  get #elapsedMs (): number {
    return this.#clock.nowMs() - this.#startedAtMs
  }

  async #call (): Promise<void> {
    const { ttftTargetMs, impatientShare } = this.#shape
    const firstAtMs = this.#clock.nowMs()
    const phase = phaseAt(this.#elapsedMs)
    const outcome = this.#outcomes[phase]
    // A generator of its own, so that callers are the same whatever the scheduler decides.
    const random = new SeededRandom(this.#seed * CALLERS_PER_SEED + this.#sequence)
    const returnId = `prompt-${this.#sequence++}`
    const impatient = random.nextFloat() < impatientShare
    outcome.callers++
    let due = false
    for (let attempt = 0; ; attempt++) {
      const sentAtMs = this.#clock.nowMs()
      const leftMs = firstAtMs + DEADLINE_MS - sentAtMs
      const request = this.#request(`${returnId}.${attempt}`, returnId, leftMs)
      const answer = await this.#scheduler.reserve(request)
      if (due) outcome.dueRetries++
      if (answer.outcome === PlacementOutcome.Placed) {
        if (due) outcome.dueRetriesPlaced++
        const firstTokenAtMs = await this.#stream(request, answer, random)
        if (firstTokenAtMs === undefined) outcome.unserved++
        else if (firstTokenAtMs - firstAtMs <= ttftTargetMs) outcome.inTime++
        else outcome.late++
        return
      }
      const nowMs = this.#clock.nowMs()
      outcome.heldInVainMs += nowMs - sentAtMs
      if (this.#promised.has(request.label.requestId)) outcome.promisesBroken++
      if (attempt === 0) {
        outcome.refusedFirst++
        this.#refusedFirst.push({ phase, atMs: nowMs, untilMs: firstAtMs + ttftTargetMs - this.#minTtftMs() })
      }
      if (this.#scheduler.describe().waiting === 0 && this.#freeSlots() > 0) outcome.refusedFree++
      if (this.#isIdle()) outcome.refusedIdle++
      const isHonoured = answer.retryAfterMs <= HONOURED_SHARE * (firstAtMs + DEADLINE_MS - nowMs)
      if (impatient ? attempt >= IMPATIENT_RETRIES : !isHonoured) {
        outcome.unserved++
        return
      }
      due = !impatient
      this.#sleeping += impatient ? 0 : 1
      await this.#clock.sleep(impatient ? IMPATIENT_GAP_MS : answer.retryAfterMs)
      this.#sleeping -= impatient ? 0 : 1
    }
  }

  #request (requestId: string, returnId: string, deadlineMs: number): ReserveRequest {
    const { promptTokens, maxTokens, ttftTargetMs } = this.#shape
    return {
      shardId: 'draft',
      label: { ownerAddress: '10.0.0.1:1', ownerIncarnation: 'owner', requestId, maxHoldMs: 30_000 },
      returnId,
      client: '',
      priority: 0,
      promptTokens,
      prefixes: [],
      maxTokens,
      ttftLeftMs: ttftTargetMs,
      patienceMs: PATIENCE_TARGETS * ttftTargetMs,
      tbtTargetMs: 50,
      deadlineMs,
      avoid: [],
    }
  }

  /** Runs a placed request. Returns the time of its first token; undefined if its engine was lost. */
  async #stream ({ label, promptTokens, maxTokens }: ReserveRequest, plan: PlacementPlan, random: SeededRandom): Promise<number | undefined> {
    const { prefillTokensPerMs, stepMs } = this.#shape
    const startMs = Math.max(this.#clock.nowMs(), this.#prefillFreeAtMs.get(plan.prefillEngine) ?? 0)
    const prefillEndMs = startMs + promptTokens / prefillTokensPerMs * (0.95 + 0.1 * random.nextFloat())
    this.#prefillFreeAtMs.set(plan.prefillEngine, prefillEndMs)
    const engine = Number(plan.decodeEngine.split('-')[1]) - 1
    const slowness = this.#shape.slowness[engine % this.#shape.slowness.length]
    const tokens = Math.ceil(maxTokens * (ANSWER_SHARE.min + (ANSWER_SHARE.max - ANSWER_SHARE.min) * random.nextFloat()))
    await this.#clock.sleep(prefillEndMs - this.#clock.nowMs())
    this.#scheduler.recordPrefillEnd(label)
    const { signal } = this.#lost.get(plan.decodeEngine) ?? new AbortController()
    await this.#clock.sleep(2 * stepMs * slowness, { signal })
    const firstTokenAtMs = this.#clock.nowMs()
    if (!signal.aborted) await this.#clock.sleep(tokens * stepMs * slowness, { signal })
    if (signal.aborted) {
      this.#scheduler.release(label, undefined, [{ engine: plan.decodeEngine, outcome: UpstreamOutcome.Unreachable }])
      return undefined
    }
    this.#scheduler.release(label, { completionTokens: tokens, ttftErrorMs: 0, tbtP50Ms: stepMs * slowness })
    return firstTokenAtMs
  }

  async #loseEngines (): Promise<void> {
    const names = [...this.#lost.keys()].slice(0, Math.round(this.#shape.lostShare * this.#lost.size))
    if (names.length === 0) return
    await this.#clock.sleep(WARM_UP_MS + LOST_AFTER_MS)
    const controllers = names.map((name) => this.#lost.get(name))
    names.forEach((name) => this.#scheduler.markUnresponsive(name))
    controllers.forEach((controller) => controller?.abort())
    await this.#clock.sleep(LOST_FOR_MS)
    names.forEach((name) => {
      this.#lost.set(name, createAbort())
      this.#scheduler.recordReport(name, idleReport(EngineRole.Decode))
    })
  }

  async #sample (): Promise<void> {
    while (!this.#done) {
      await this.#clock.sleep(SAMPLE_MS)
      if (this.#scheduler.describe().waiting > 0) continue
      const free = this.#freeSlots()
      if (free > 0) this.#roomAtMs.push(this.#clock.nowMs())
      this.#outcomes[phaseAt(this.#elapsedMs)].idleSlotMs += Math.min(free, this.#sleeping) * SAMPLE_MS
    }
  }

  /** Free slots that a prefill engine could use within a few milliseconds. */
  #freeSlots (): number {
    const nowMs = this.#clock.nowMs()
    const { ledger } = this.#scheduler
    if (!ledger.prefillEngines().some(({ account }) => account.freeAtMs(nowMs) <= nowMs + SAMPLE_MS)) return 0
    return ledger.decodeEngines().reduce((sum, { account, report }) => sum + (report ? Math.max(0, perEngine(this.#shape) - account.reservedPlaces) : 0), 0)
  }

  #isIdle (): boolean {
    const { ledger } = this.#scheduler
    const taken = ledger.decodeEngines().reduce((sum, { account }) => sum + account.reservedPlaces, 0)
    const usable = ledger.decodeEngines().filter(({ report }) => report).length * perEngine(this.#shape)
    return this.#scheduler.describe().waiting === 0 && taken < usable / 2
  }

  #minTtftMs (): number {
    return this.#shape.promptTokens / this.#shape.prefillTokensPerMs + 3 * this.#shape.stepMs
  }
}

function emptyOutcome (): PhaseOutcome {
  return { callers: 0, inTime: 0, late: 0, unserved: 0, refusedFirst: 0, refusedWithRoom: 0, refusedFree: 0, refusedIdle: 0, heldInVainMs: 0, dueRetries: 0, dueRetriesPlaced: 0, promisesBroken: 0, idleSlotMs: 0 }
}

function phaseAt (elapsedMs: number): BurstPhase {
  const sinceMs = elapsedMs - WARM_UP_MS
  if (sinceMs < 0) return BurstPhase.Before
  if (sinceMs < RAMP_MS) return BurstPhase.Ramp
  return sinceMs < BURST_MS ? BurstPhase.Peak : BurstPhase.End
}

function perEngine ({ slots, requestsInMemory }: BurstShape): number {
  return Math.min(slots, requestsInMemory)
}

/** Rate of requests that the pool serves when all of its engines are busy. */
export function capacityPerMs (shape: BurstShape): number {
  const { prefillEngines, decodeEngines, promptTokens, prefillTokensPerMs, maxTokens, stepMs, slowness } = shape
  const prefillMs = promptTokens / prefillTokensPerMs
  const answerMs = maxTokens * (ANSWER_SHARE.min + ANSWER_SHARE.max) / 2 * stepMs
  const decodePerMs = Array.from({ length: decodeEngines }, (_, i) => perEngine(shape) / (prefillMs + answerMs * slowness[i % slowness.length])).reduce((sum, rate) => sum + rate, 0)
  return Math.min(prefillEngines / prefillMs, decodePerMs)
}

function shardOf ({ prefillEngines, decodeEngines, slots, requestsInMemory, promptTokens, maxTokens, prefillTokensPerMs, stepMs }: BurstShape): Shard {
  const { configuration } = checkResources(sampleDeclarations().map((entry) => ({ ...entry, revision: 1 })), 1)
  const engines = (pool: string, count: number) => Array.from({ length: count }, (_, i) => ({ name: `${pool}-${i + 1}`, kind: UpstreamKind.Engine, address: `10.0.0.1:${i}`, availabilityZone: 'z', pool, leaving: false }))
  const spec = configuration.model('draft')
  const prefillPool = configuration.pool('draft-prefill')
  const decodePool = configuration.pool('draft-decode')
  if (!spec || !prefillPool || !decodePool) throw new Error('the declarations lack the model "draft" or one of its pools')
  return {
    id: 'draft',
    model: 'draft',
    spec: { ...spec, kvBytesPerToken: KV_BYTES_PER_TOKEN, prefillTokensPerSecond: prefillTokensPerMs * 1000, decodeStepBaseMs: stepMs, decodeStepPerRequestMs: 0 },
    prefillPool,
    decodePool: { ...decodePool, placesPerEngine: slots, kvBytesPerEngine: (requestsInMemory + 0.4) * (promptTokens + maxTokens) * KV_BYTES_PER_TOKEN },
    prefillEngines: engines('p', prefillEngines),
    decodeEngines: engines('d', decodeEngines),
  }
}

function idleReport (role: EngineRole): EngineReport {
  return { role, loaded: [{ model: 'draft', version: '1' }], changing: false, placesUsed: 0, placesTotal: 20, kvBytesUsed: 0, kvBytesTotal: 1, prefillQueueMs: 0, fence: 0, holds: [] }
}

/** All streams of an engine listen to its loss. */
function createAbort (): AbortController {
  const controller = new AbortController()
  setMaxListeners(0, controller.signal)
  return controller
}
