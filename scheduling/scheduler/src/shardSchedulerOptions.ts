import { type AccountSpec, type Named, type RouteSpec } from '@reelspan/config.resources'
import { type Clock, type TaskErrorListener } from '@reelspan/core.env'
import { type PlacementOutcome } from '@reelspan/core.messages'
import { type SlotRestriction } from '@reelspan/scheduling.ledger'
import { type PrefixIndex } from '@reelspan/scheduling.prefix-index'
import { type Shard } from '@reelspan/scheduling.shards'
import { type Suspicion } from '@reelspan/upstream.health'
import { type AdmissionDecision, type AdmissionInputs } from './decideAdmission.js'

export interface ShardSchedulerOptions {
  clock: Clock
  shard: Shard
  /** The route of the shard's model, for client weights and shares. */
  route: () => RouteSpec | undefined
  /** The declared client accounts, for their weights. */
  accounts?: () => readonly Named<AccountSpec>[]
  index: PrefixIndex
  maxReportAgeMs: number
  /** Requests per second that an engine accepts; undefined if it advertises no limit. */
  limitPerSecond?: (engine: string) => number | undefined
  /** Called when an owner could not reach an engine, so that the engine is probed. */
  onUnreachable?: (engine: string) => void
  /** Called when an engine is avoided for a while because owners reported failures. */
  onSuspected?: (engine: string, suspicion: Suspicion) => void
  onTrusted?: (engine: string) => void
  /** Called when an engine has not answered and gets no work until it reports again. */
  onUnresponsive?: (engine: string) => void
  /** Called when a decode engine refused a request as full and is limited to the slots that it has in use. */
  onFull?: (engine: string, restriction: SlotRestriction) => void
  /** Called when the admission decision for a waiting request is made or changes. */
  onAdmission?: (requestId: string, inputs: AdmissionInputs, decision: AdmissionDecision, share: ShareUse) => void
  /** Called when a request was placed or refused. */
  onAnswered?: (outcome: PlacementOutcome, share: ShareUse) => void
  /** Called when a request that waited is placed: how much later its first token is expected than its first admission decision expected. */
  onForecastError?: (errorMs: number) => void
  /** Called when a retry that arrived before its retry delay has passed is refused without being queued. */
  onEarlyRetry?: () => void
  /** Called when a task ends with an unexpected error. */
  onTaskError?: TaskErrorListener
}

/** The client of a request, and whether the request exceeded its share. */
export interface ShareUse {
  client: string
  overShare: boolean
}
