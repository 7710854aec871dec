import { type Settings } from '@reelspan/config.settings'
import { type Clock } from '@reelspan/core.env'
import { errorMessage } from '@reelspan/core.error'
import { rankByRendezvous } from '@reelspan/core.hashing'
import { type Member, MemberHealth, MessageType, type PeerLink } from '@reelspan/core.messages'
import { type Prober } from '@reelspan/membership.prober'
import { type MembershipView } from '@reelspan/membership.view'
import { type Owner } from '@reelspan/request.owner'
import { type Relay } from '@reelspan/request.relay'
import { type PortableRecord, type RecordStore } from '@reelspan/request.records'
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
  /** Resolves once no caller is being answered. */
  callersServed: () => Promise<void>
  log: Log
}

const HANDOFF_TIMEOUT_MS = 2000
const HANDOFF_CANDIDATES = 3
const RECORDS_PER_HANDOFF = 200
/** Every box has heard of a change after about this many probe periods. */
const SPREAD_PERIODS = 2
/** That a box stops is told at once and passed on within a tenth of a period; the rest is for messages that are lost. */
const TOLD_PERIODS = 1

/** Stops a box so that no request is cut off. Resolves when the process may exit. */
export async function plannedStop (opts: PlannedStopOptions): Promise<void> {
  const { clock, settings, view, prober, owner, relay, callersServed } = opts
  const spreadMs = SPREAD_PERIODS * settings.membership.probePeriodMs
  view.announce({ leaving: true }, clock.nowMs())
  await prober.tellNow()
  // Callers keep lookup answers for a while and still come here.
  await clock.sleep(settings.requests.lookupKeepMs + TOLD_PERIODS * settings.membership.probePeriodMs)
  owner.closeForNew()
  relay?.closeForNew()
  await waitAtMost(opts, settings.requests.longestRequestMs)
  const successor = await handOffRecords(opts)
  view.announce({ health: MemberHealth.Gone, successor }, clock.nowMs())
  await prober.tellNow()
  await clock.sleep(spreadMs)
  await callersServed()
}

async function waitAtMost ({ clock, owner, relay }: PlannedStopOptions, durationMs: number): Promise<void> {
  const stop = new AbortController()
  await Promise.race([Promise.all([owner.waitIdle(stop.signal), relay?.waitIdle(stop.signal)]), clock.sleep(durationMs, { signal: stop.signal })])
  stop.abort()
}

/** Gives all records to one other box. Without a taker, old keys will be answered with «may have run». */
async function handOffRecords (opts: PlannedStopOptions): Promise<Member['successor']> {
  const { view, log } = opts
  const others = view.takingWork().filter(({ incarnation }) => incarnation !== view.self.incarnation)
  const candidates = rankByRendezvous(view.self.incarnation, others, ({ incarnation }) => incarnation).slice(0, HANDOFF_CANDIDATES)
  for (const { peerAddress, incarnation } of candidates) {
    try {
      await sendRecords(opts, peerAddress)
      return { peerAddress, incarnation }
    } catch (thrown) {
      log.warn(LogEvent.HandoffFailed, { peerAddress, reason: errorMessage(thrown) })
    }
  }
  return undefined
}

async function sendRecords ({ clock, link, view, records }: PlannedStopOptions, address: string): Promise<void> {
  const parts = inParts(records.export())
  const taken = [...records.taken(), { incarnation: view.self.incarnation, clockMs: clock.nowMs() }]
  for (const [i, part] of parts.entries()) {
    const isLast = i === parts.length - 1
    await link.call(address, { type: MessageType.RecordsHandoff, records: part, taken: isLast ? taken : [] }, { timeoutMs: HANDOFF_TIMEOUT_MS })
  }
}

/** At least one part, since the last one also says that all are there. */
function inParts (records: PortableRecord[]): PortableRecord[][] {
  const count = Math.max(1, Math.ceil(records.length / RECORDS_PER_HANDOFF))
  return Array.from({ length: count }, (_, i) => records.slice(i * RECORDS_PER_HANDOFF, (i + 1) * RECORDS_PER_HANDOFF))
}
