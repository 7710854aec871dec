import { type Clock } from '@reelspan/core.env'
import { type PlacementPlan, PlacementOutcome, type PlacementRefusal } from '@reelspan/core.messages'
import { ClientShares } from '@reelspan/scheduling.client-shares'
import { type Placement, Placer, type PlaceRequest } from '@reelspan/scheduling.placer'
import { type PrefixIndex } from '@reelspan/scheduling.prefix-index'
import { slotsWithinTarget, prefillMs, requestKvBytes, type Shard, transferMs } from '@reelspan/scheduling.shards'
import { type ListedUpstream, softwareVersionOf } from '@reelspan/config.fleet'
import { type EnginePicker } from './enginePicker.js'
import { type DatedReport, type ReportSource } from './reportSource.js'

export interface LocalPlacerOptions {
  clock: Clock
  picker: EnginePicker
  /** Picks decode engines, which have no prefix locality. */
  decodePicker: EnginePicker
  reports: ReportSource
  index: PrefixIndex
  shardsOfModel: (model: string) => readonly Shard[]
  /** Refuse requests that would be late or find no free slot. */
  admission: boolean
  /**
   * The number of owners that are assumed to place as much as this one, so that its own
   * placements since the last report stand for all. 0 ignores placements since the report.
   */
  assumedOwners: () => number
  /** Percentage of each decode engine's slots that may be used. */
  slotPercent: number
  /** Weight of a client in overload; 1 if omitted. */
  weightOf?: (client: string) => number
}

interface Candidate {
  name: string
  engine: ListedUpstream
  dated: DatedReport
  /** Estimated load: queued work in ms for a prefill engine, slots in use for a decode engine. */
  load: number
  version: string
}

/** Estimates the load of an engine from its report, the load placed since the report, and the report's age. */
type LoadEstimate = (report: DatedReport['report'], unreportedLoad: number, ageMs: number) => number

/** Assumes that the reported queue has drained since: 1 ms of work per ms. */
const prefillLoad: LoadEstimate = ({ prefillQueueMs }, unreportedLoad, ageMs) => Math.max(0, prefillQueueMs + unreportedLoad - ageMs)

const decodeLoad: LoadEstimate = ({ placesUsed }, unreportedLoad) => placesUsed + unreportedLoad

interface OwnPlacement {
  engine: string
  placedAtMs: number
  load: number
}

/** Approximate age of an engine's report when it is received. */
const REPORT_LAG_MS = 500
const START_WITHIN_MS = 1000
const REFUSAL_RETRY_AFTER_MS = 500
/** Prompts with the same first tokens, up to this many, are sent to the same engine. */
const AFFINITY_TOKENS = 1024
/**
 * Share of the first-token target that an estimate may use, since reports are
 * outdated. 0.7 gives more goodput than 1.
 */
const ADMISSION_MARGIN = 0.7
/** Expected answer length as a share of the maximum. A single owner sees too few answers to estimate it. */
const TYPICAL_ANSWER_SHARE = 0.6
/** Own placements are kept until reports must include them. */
const OWN_PLACEMENT_TTL_MS = 2000

/**
 * Share of the usable slots of an engine for clients over their share at this box, so that the others find
 * a slot. The box knows its own requests only; asking other boxes would need the messages that are missing here.
 */
const OVER_SHARE_SLOTS = 0.5

/** Places requests without a scheduler, from engine reports and this owner's own recent placements. */
export class LocalPlacer extends Placer {
  readonly #opts: LocalPlacerOptions
  readonly #shares = new ClientShares()
  #ownPlacements: OwnPlacement[] = []

  constructor (opts: LocalPlacerOptions) {
    super()
    this.#opts = opts
    // Until a request is refused, all clients get what they request, and none is over its share.
    this.#shares.setWaiting([], opts.clock.nowMs())
  }

  async place (request: PlaceRequest): Promise<Placement | PlacementRefusal> {
    const { shardsOfModel, reports, admission } = this.#opts
    const shards = shardsOfModel(request.model)
    const prefillListed = shards.flatMap((shard) => shard.prefillEngines).filter(({ leaving }) => !leaving)
    const decodeListed = shards.flatMap((shard) => shard.decodeEngines).filter(({ leaving }) => !leaving)
    const [prefillReports, decodeReports] = await Promise.all([reports.reports(prefillListed), reports.reports(decodeListed)])
    const prefill = this.#pickPrefill(request, this.#candidates(prefillListed, prefillReports, request, prefillLoad))
    if (!prefill) return refusal('no prefill engine has a usable report')
    const decodes = this.#candidates(decodeListed, decodeReports, request, decodeLoad)
      .filter(({ version, engine }) => version === prefill.version && (request.softwareVersion === undefined || softwareVersionOf(engine) === request.softwareVersion))
    if (decodes.length === 0) return refusal('no decode engine has a usable report')
    const decode = this.#opts.decodePicker.pick(decodes, ({ load }) => load, '')
    const shard = shards.find(({ prefillEngines }) => prefillEngines.includes(prefill.engine)) as Shard
    if (admission && !this.#isInTime(request, prefill, shard)) return refusal('the first token would be late')
    if (admission && !this.#hasCapacity(request, decode, shard)) {
      this.#shares.recordRefusal(this.#demandOf(request, shard), this.#opts.clock.nowMs())
      return refusal('the decode engine is full')
    }
    return this.#createPlacement(request, prefill, decode, shard)
  }

  #candidates (listed: readonly ListedUpstream[], reports: Map<string, DatedReport>, request: PlaceRequest, loadOf: LoadEstimate): Candidate[] {
    const servedName = this.#opts.shardsOfModel(request.model)[0]?.spec.servedName ?? request.model
    return listed.flatMap((engine) => {
      const dated = reports.get(engine.name)
      const version = dated?.report.loaded.find(({ model }) => model === servedName)?.version
      if (!dated || dated.report.changing || version === undefined || request.avoid.includes(engine.name)) return []
      const ageMs = this.#opts.clock.nowMs() - dated.atMs + REPORT_LAG_MS
      const load = loadOf(dated.report, this.#unreportedLoad(engine.name, listed, dated.atMs), ageMs)
      return [{ name: engine.name, engine, dated, version, load }]
    })
  }

  /** The load placed on an engine since its report: this owner's exactly, and the same total for each other owner, spread evenly over the engines. */
  #unreportedLoad (engine: string, listed: readonly ListedUpstream[], reportAtMs: number): number {
    const owners = this.#opts.assumedOwners()
    if (owners === 0) return 0
    const names = new Set(listed.map(({ name }) => name))
    const recent = this.#ownPlacements.filter((own) => names.has(own.engine) && own.placedAtMs > reportAtMs - REPORT_LAG_MS)
    const sumOf = (placements: readonly OwnPlacement[]) => placements.reduce((sum, { load }) => sum + load, 0)
    return sumOf(recent.filter((own) => own.engine === engine)) + (owners - 1) * sumOf(recent) / listed.length
  }

  /** Picks the engine that would finish first, among the picker's choice and the engines that have a prefix of the prompt cached. */
  #pickPrefill (request: PlaceRequest, candidates: Candidate[]): Candidate | undefined {
    if (candidates.length === 0) return undefined
    const shard = this.#opts.shardsOfModel(request.model)[0]
    const cached = candidates.filter(({ engine }) => this.#cachedTokens(request, engine) > 0)
    const picked = this.#opts.picker.pick(candidates, ({ load }) => load, affinityOf(request))
    const finishMs = (candidate: Candidate) => candidate.load + this.#prefillMs(request, candidate.engine, shard)
    return [picked, ...cached].reduce((best, candidate) => finishMs(candidate) < finishMs(best) ? candidate : best)
  }

  #cachedTokens (request: PlaceRequest, engine: ListedUpstream): number {
    return this.#opts.index.cachedTokens(engine.name, request.prefixes, this.#opts.clock.nowMs())
  }

  #prefillMs (request: PlaceRequest, engine: ListedUpstream, shard: Shard): number {
    return prefillMs(shard, request.promptTokens - this.#cachedTokens(request, engine))
  }

  #isInTime (request: PlaceRequest, prefill: Candidate, shard: Shard): boolean {
    const handoverMs = transferMs(shard, request.promptTokens) + shard.spec.decodeStepBaseMs
    return prefill.load + this.#prefillMs(request, prefill.engine, shard) + handoverMs <= ADMISSION_MARGIN * request.ttftLeftMs
  }

  #hasCapacity (request: PlaceRequest, decode: Candidate, shard: Shard): boolean {
    const overShare = this.#shares.isOverShare(request.client, this.#opts.clock.nowMs())
    const slots = slotsWithinTarget(shard, request.tbtTargetMs) * this.#opts.slotPercent / 100 * (overShare ? OVER_SHARE_SLOTS : 1)
    const { kvBytesTotal, kvBytesUsed } = decode.dated.report
    return decode.load + 1 <= Math.max(1, slots) && kvBytesUsed + requestKvBytes(shard, request, TYPICAL_ANSWER_SHARE) <= kvBytesTotal
  }

  /** What a request costs of a slot, by the expected duration of its answer. */
  #demandOf ({ client, maxTokens }: PlaceRequest, { spec }: Shard) {
    const cost = this.#shares.costOfHolding(1, TYPICAL_ANSWER_SHARE * maxTokens * spec.decodeStepBaseMs)
    return { client, cost, weight: this.#opts.weightOf?.(client) ?? 1 }
  }

  #createPlacement (request: PlaceRequest, prefill: Candidate, decode: Candidate, shard: Shard): Placement {
    const nowMs = this.#opts.clock.nowMs()
    const costMs = this.#prefillMs(request, prefill.engine, shard)
    this.#ownPlacements = this.#ownPlacements.filter(({ placedAtMs }) => nowMs - placedAtMs < OWN_PLACEMENT_TTL_MS)
    this.#ownPlacements.push({ engine: prefill.engine.name, placedAtMs: nowMs, load: costMs }, { engine: decode.engine.name, placedAtMs: nowMs, load: 1 })
    this.#opts.index.recordSent(prefill.engine.name, request.prefixes, nowMs)
    const plan: PlacementPlan = {
      outcome: PlacementOutcome.Placed,
      prefillEngine: prefill.engine.name,
      prefillAddress: prefill.engine.address,
      decodeEngine: decode.engine.name,
      decodeAddress: decode.engine.address,
      kvBytes: requestKvBytes(shard, request, TYPICAL_ANSWER_SHARE),
      startInMs: 0,
      startWithinMs: START_WITHIN_MS,
      expectedTtftMs: prefill.load + costMs,
    }
    const { client, cost, weight } = this.#demandOf(request, shard)
    this.#shares.start(client, cost, weight, nowMs)
    const release = () => {
      const releasedAtMs = this.#opts.clock.nowMs()
      this.#shares.end(client, { expected: cost, actual: this.#shares.costOfHolding(1, releasedAtMs - nowMs) }, releasedAtMs)
    }
    return { plan, placedBy: 'owner alone', recordPrefillEnd: () => {}, recordOutcomes: () => {}, release, recordProgress: () => {} }
  }
}

/** The key that requests whose prompts begin alike have in common. */
function affinityOf ({ prefixes, label }: PlaceRequest): string {
  return prefixes.findLast(({ tokens }) => tokens <= AFFINITY_TOKENS)?.digest ?? label.requestId
}

function refusal (reason: string): PlacementRefusal {
  return { outcome: PlacementOutcome.Refused, reason, retryAfterMs: REFUSAL_RETRY_AFTER_MS }
}
