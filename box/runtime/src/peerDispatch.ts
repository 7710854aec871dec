import { type ConfigStore } from '@reelspan/config.store'
import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { Collection, MemberHealth, type UpstreamStateUpdate, type MessageOf, MessageType, type PeerHandler, type PeerMessage, RevisionNumbering, type RunEvent } from '@reelspan/core.messages'
import { type TokenBucketStore } from '@reelspan/membership.limits'
import { type Gossip, type Prober } from '@reelspan/membership.prober'
import { type MembershipView } from '@reelspan/membership.view'
import { parseRequestKey } from '@reelspan/request.key'
import { type DelegatedRuns } from '@reelspan/request.delegation'
import { type StreamOrigins } from '@reelspan/request.stream-origins'
import { type LookupAnswer } from '@reelspan/request.lookup'
import { type Owner } from '@reelspan/request.owner'
import { type RecordStore } from '@reelspan/request.records'
import { type CoordinatedPools, type PoolCoordinator } from '@reelspan/scheduling.pool-admission'
import { type Log, LogEvent } from '@reelspan/telemetry.log'
import { cannotPlace } from './shardManager.js'
import { type ShardManagers } from './shardManagers.js'
import { type UpstreamFailureReport } from '@reelspan/upstream.health'
import { type UpstreamStates } from '@reelspan/upstream.signals'
import { acquirePermits } from './createLimitParts.js'

export interface PeerDispatchOptions {
  prober: Prober
  view: MembershipView
  stores: Record<Collection, ConfigStore<unknown>>
  shardManagers: ShardManagers
  owner: Owner
  records: RecordStore
  delegatedRuns: DelegatedRuns
  streamOrigins: StreamOrigins
  runGossip: Gossip<RunEvent>
  /** Answers a box that asks this one as coordinator or stand-in of an account. */
  acquireAccountCost: (message: MessageOf<MessageType.AccountTake>) => PeerMessage
  releaseAccountCost: (message: MessageOf<MessageType.AccountGiveBack>) => void
  upstreamStateGossip: Gossip<UpstreamStateUpdate>
  permitBuckets: TokenBucketStore
  upstreamStates: UpstreamStates
  pools: CoordinatedPools
  poolCoordinator: PoolCoordinator
  /** Whether this box has lost its network paths to the upstreams. */
  hasLostPaths: () => boolean
  onUpstreamReports: (reports: readonly UpstreamFailureReport[]) => void
  lookup: (availabilityZone?: string) => LookupAnswer
  confirmRunningHere: (incarnation: string, requestIds: readonly string[]) => string[] | undefined
  describeForStatus: () => unknown
  log: Log
}

/** Handles the messages of other boxes. */
export class PeerDispatch implements PeerHandler {
  readonly #opts: PeerDispatchOptions

  constructor (opts: PeerDispatchOptions) {
    this.#opts = opts
  }

  async onCall (message: PeerMessage): Promise<PeerMessage> {
    const { prober, stores, shardManagers, owner, runGossip, acquireAccountCost, releaseAccountCost, upstreamStateGossip, permitBuckets, pools, poolCoordinator, onUpstreamReports, lookup, confirmRunningHere, describeForStatus } = this.#opts
    switch (message.type) {
      case MessageType.ConfigPull:
        return { type: MessageType.ConfigContent, numbering: RevisionNumbering.ByVersionAndEra, ...stores[message.collection].changesSince(message.sinceRevision, message.digest) }
      case MessageType.Reserve:
        return this.#reserve(message)
      case MessageType.ReleaseReservation:
        if (message.stillReserved) shardManagers.existing(message.shardId)?.recordOutcomes(message.label, message.outcomes)
        else shardManagers.existing(message.shardId)?.release(message.label, message.report, message.outcomes)
        return DONE
      case MessageType.PrefillDone:
        shardManagers.existing(message.shardId)?.recordPrefillEnd(message.label)
        return DONE
      case MessageType.AdoptReservations:
        shardManagers.scheduler(message.shardId)?.adopt(message.reservations)
        return DONE
      case MessageType.Vouch:
        return this.#confirmRunning(message, confirmRunningHere)
      case MessageType.Cancel:
        owner.cancel(message.key)
        return DONE
      case MessageType.RecordsHandoff:
        return this.#importRecords(message)
      case MessageType.Lookup:
        return { type: MessageType.LookupAnswer, ...lookup(message.availabilityZone) }
      case MessageType.RunsTell:
        runGossip.receive(message.events)
        return DONE
      case MessageType.RunsPull:
        return { type: MessageType.RunsContent, events: runGossip.known() }
      case MessageType.UpstreamsTell:
        onUpstreamReports(message.reports)
        return DONE
      case MessageType.AccountTake:
        return acquireAccountCost(message)
      case MessageType.AccountGiveBack:
        releaseAccountCost(message)
        return DONE
      case MessageType.UpstreamStatesTell:
        upstreamStateGossip.receive(message.updates)
        return DONE
      case MessageType.UpstreamStatesPull:
        upstreamStateGossip.receive(message.updates)
        return { type: MessageType.UpstreamStatesContent, updates: upstreamStateGossip.known() }
      case MessageType.UpstreamTake:
        return acquirePermits(this.#opts, message)
      case MessageType.UpstreamGiveBack:
        permitBuckets.release(message.upstream, message.cost)
        return DONE
      case MessageType.PoolAcquire:
        pools.recordAsked(message.pool)
        return { type: MessageType.PoolAcquired, answer: await poolCoordinator.acquire(message.pool, message.call, message.running) }
      case MessageType.PoolRelease:
        poolCoordinator.release(message.pool, message.label, message.outcome, message.durationMs)
        return DONE
      case MessageType.PoolsTell:
        pools.receive(message.shortages)
        return DONE
      case MessageType.DelegatedRead:
        this.#opts.delegatedRuns.recordRead(message.runId, message.totalBytes)
        return DONE
      case MessageType.StreamOriginsTell:
        this.#opts.streamOrigins.receive(message.origins)
        return DONE
      case MessageType.StreamOriginPull:
        return this.#opts.streamOrigins.answer(message)
      case MessageType.StatusPull:
        return { type: MessageType.StatusContent, status: describeForStatus() }
      default:
        return await prober.answer(message) ?? rejectUnexpected(message)
    }
  }

  async * onStream (message: PeerMessage, signal: AbortSignal): AsyncGenerator<PeerMessage> {
    const { owner, delegatedRuns } = this.#opts
    if (message.type === MessageType.Delegate) {
      for await (const event of delegatedRuns.run(message.request, message.terms, signal)) yield { type: MessageType.DelegatedEvent, event }
      return
    }
    if (message.type !== MessageType.Submit) return rejectUnexpected(message)
    const record = owner.submit(message.request, { takeOver: message.takeOver === true && this.#mayTakeOver(message.request.key) })
    for await (const event of record.read(message.fromEvent, signal)) yield { type: MessageType.Answer, event }
  }

  async #reserve ({ request }: MessageOf<MessageType.Reserve>): Promise<PeerMessage> {
    const scheduler = this.#opts.shardManagers.scheduler(request.shardId)
    if (!scheduler) throw new ReelspanError(ErrorCode.NotReady, `shard ${request.shardId} is unknown to this box`)
    if (this.#opts.hasLostPaths() && !scheduler.hasReports) throw cannotPlace()
    return { type: MessageType.ReserveAnswer, answer: await scheduler.reserve(request) }
  }

  #confirmRunning ({ ownerIncarnation, requestIds }: MessageOf<MessageType.Vouch>, confirmRunningHere: PeerDispatchOptions['confirmRunningHere']): PeerMessage {
    const confirmed = confirmRunningHere(ownerIncarnation, requestIds)
    if (!confirmed) throw new ReelspanError(ErrorCode.OwnerGone, 'the box at this address runs under another incarnation')
    return { type: MessageType.Vouched, ownerIncarnation, requestIds: confirmed }
  }

  #importRecords ({ records: portable, taken }: MessageOf<MessageType.RecordsHandoff>): PeerMessage {
    const { records, view, log } = this.#opts
    if (view.self.leaving) throw new ReelspanError(ErrorCode.Draining, 'this box is stopping and accepts no records')
    records.import(portable)
    records.addPredecessors(taken)
    if (taken.length > 0) log.info(LogEvent.RecordsTaken, { incarnations: taken.map(({ incarnation }) => incarnation) })
    return DONE
  }

  /** The sender has evidence that the owner is gone. If this box knows the owner as not gone, it refuses the takeover. */
  #mayTakeOver (key: string): boolean {
    const { owner } = parseRequestKey(key)
    const member = owner && this.#opts.view.get(owner.incarnation)
    return member === undefined || member.health === MemberHealth.Gone
  }
}

const DONE: PeerMessage = { type: MessageType.Done }

function rejectUnexpected (message: PeerMessage): never {
  throw new ReelspanError(ErrorCode.PeerProtocol, `unexpected message ${message.type}`, { verdict: Verdict.NotRun })
}
