import { type Settings } from '@reelspan/config.settings'
import { type Clock } from '@reelspan/core.env'
import { errorMessage } from '@reelspan/core.error'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type Member, MemberHealth, MessageType, type PeerLink, PeerLinkError } from '@reelspan/core.messages'
import { type Prober } from '@reelspan/membership.prober'
import { type MembershipView } from '@reelspan/membership.view'
import { type Owner } from '@reelspan/request.owner'
import { type Relay } from '@reelspan/request.relay'
import { type ExportedRecord, type RecordStore } from '@reelspan/request.records'
import { type Log, LogEvent } from '@reelspan/telemetry.log'

export interface PlannedStopOptions {
  clock: Clock
  settings: Settings
  link: PeerLink
  view: MembershipView
  prober: Prober
  owner: Owner
  relay?: Relay
  records: RecordStore
  /** When the stop must have ended, on this box's clock. Without it the stop takes as long as it needs. */
  stopsAtMs?: number
  /** Resolves when no caller is waiting for an answer any more. */
  waitForCallers: () => Promise<void>
  log: Log
}

const HANDOFF_TIMEOUT_MS = 2000
const HANDOFF_CANDIDATES = 3
const RECORDS_PER_HANDOFF = 200
/** Gossip reaches every box after about this many probe periods. */
const GOSSIP_PERIODS = 2
/** A stop is announced immediately and forwarded within a tenth of a probe period; the rest covers lost messages. */
const ANNOUNCE_PERIODS = 1
/** Kept free for the handoff of the records before a stop must have ended. */
const HANDOFF_RESERVE_MS = 700
/** Kept free to announce that the box is gone. */
const ANNOUNCE_RESERVE_MS = 100

/** Stops a box without interrupting a request. Resolves when the process may exit. */
export async function plannedStop (opts: PlannedStopOptions): Promise<void> {
  const { clock, settings, stopsAtMs = Number.POSITIVE_INFINITY, view, prober, owner, relay, waitForCallers } = opts
  const gossipMs = GOSSIP_PERIODS * settings.membership.probePeriodMs
  view.announce({ leaving: true }, clock.nowMs())
  const announced = prober.sendHeartbeatsNow()
  const handOffAtMs = stopsAtMs - gossipMs - HANDOFF_RESERVE_MS
  await clock.sleep(Math.min(lookupExpiryMs(settings), handOffAtMs - clock.nowMs()))
  owner.stopAccepting()
  relay?.stopAccepting()
  const maxIdleWaitMs = Math.min(settings.requests.longestRequestMs, handOffAtMs - clock.nowMs())
  await waitForIdle(opts, maxIdleWaitMs)
  const [successor] = await Promise.all([handOffRecords(opts), announced])
  // Peers release what a box that is gone holds at engines, so one that still serves is not announced as gone.
  await waitForIdle(opts, Math.min(settings.requests.longestRequestMs, stopsAtMs - ANNOUNCE_RESERVE_MS - clock.nowMs()))
  view.announce({ health: MemberHealth.Gone, successor }, clock.nowMs())
  await prober.sendHeartbeatsNow()
  await clock.sleep(gossipMs)
  await waitForCallers()
}

/** How long callers may still send requests to a box that stops: they cache lookup answers. */
export function lookupExpiryMs ({ requests, membership }: Settings): number {
  return requests.lookupKeepMs + ANNOUNCE_PERIODS * membership.probePeriodMs
}

async function waitForIdle ({ clock, owner, relay }: PlannedStopOptions, durationMs: number): Promise<void> {
  if (durationMs <= 0) return
  const stop = new AbortController()
  await Promise.race([Promise.all([owner.waitUntilIdle(stop.signal), relay?.waitUntilIdle(stop.signal)]), clock.sleep(durationMs, { signal: stop.signal })])
  stop.abort()
}

/** Hands all records over to one other box. If none accepts them, retries of the old keys are answered with «may have run». */
async function handOffRecords (opts: PlannedStopOptions): Promise<Member['successor']> {
  const { clock, stopsAtMs = Number.POSITIVE_INFINITY, view, log } = opts
  const others = view.takingWork().filter(({ incarnation }) => incarnation !== view.self.incarnation)
  const candidates = rankByRendezvous(view.self.incarnation, others, ({ incarnation }) => incarnation).slice(0, HANDOFF_CANDIDATES)
  for (const [i, { peerAddress, incarnation }] of candidates.entries()) {
    try {
      // A candidate that does not answer leaves time for the others.
      const leftMs = stopsAtMs - ANNOUNCE_RESERVE_MS - clock.nowMs()
      await sendRecords(opts, peerAddress, clock.nowMs() + leftMs / (candidates.length - i))
      return { peerAddress, incarnation }
    } catch (thrown) {
      log.warn(LogEvent.HandoffFailed, { peerAddress, reason: errorMessage(thrown) })
    }
  }
  return undefined
}

/** Sends all records until a time on this box's clock. */
async function sendRecords ({ clock, link, view, records }: PlannedStopOptions, address: string, untilMs: number): Promise<void> {
  const batches = splitIntoBatches(records.export())
  const taken = [...records.predecessors(), { incarnation: view.self.incarnation, clockMs: clock.nowMs() }]
  for (const [i, batch] of batches.entries()) {
    const isLast = i === batches.length - 1
    const timeoutMs = Math.min(HANDOFF_TIMEOUT_MS, untilMs - clock.nowMs())
    if (timeoutMs <= 0) throw new PeerLinkError('the records could not be sent in time', { mayHaveArrived: true })
    await link.call(address, { type: MessageType.RecordsHandoff, records: batch, taken: isLast ? taken : [] }, { timeoutMs })
  }
}

/** Always returns at least one batch, since the last batch also marks the handoff as complete. */
function splitIntoBatches (records: ExportedRecord[]): ExportedRecord[][] {
  const count = Math.max(1, Math.ceil(records.length / RECORDS_PER_HANDOFF))
  return Array.from({ length: count }, (_, i) => records.slice(i * RECORDS_PER_HANDOFF, (i + 1) * RECORDS_PER_HANDOFF))
}
