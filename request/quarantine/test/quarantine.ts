import { type RunEvent } from '@reelspan/core.messages'
import { type RequestIdentity } from '@reelspan/request.identity'
import { Quarantine, RunHistory } from '@reelspan/request.quarantine'
import { Log, type LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const RAN_MS = 60
const INTERVAL_MS = 900

class RecordingLog extends Log {
  readonly lines: (LogFields & { event: LogEvent })[] = []

  info (event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, ...fields })
  }

  warn (event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, ...fields })
  }
}

function startQuarantine ({ clock = new VirtualClock(), mayTry = () => true, incarnation = 'a' }: { clock?: VirtualClock, mayTry?: (key: string, lapsedMs: number) => boolean, incarnation?: string } = {}) {
  const history = new RunHistory({ clock })
  const log = new RecordingLog()
  const events: RunEvent[] = []
  const quarantine = new Quarantine({ clock, log, history, incarnation: () => incarnation, onEvent: (event) => events.push(event), mayTry })
  const exit = (identity: RequestIdentity, upstream: string, over: Partial<RunEvent> = {}) =>
    quarantine.recordUpstreamExit(identity, upstream, { ranMs: RAN_MS, ageMs: 0, writtenMs: 0, targetVersion: 'm@1', ...over })
  /** Adds what another box has announced. */
  const receive = (received: readonly RunEvent[]) => quarantine.onEventsAdded(received.filter((event) => history.add(event)))
  return { clock, history, log, events, quarantine, exit, receive }
}

let nextContent = 0

/** A request unlike any other. */
function requestWith (parts: readonly string[], over: Partial<RequestIdentity> = {}): RequestIdentity {
  return { content: `content-${nextContent++}`, caller: 'w', parts, ...over }
}

test('a request that a caller repeats is not quarantined for exits at which a crashing prompt part was', async (t) => {
  const { clock, quarantine, exit } = startQuarantine()
  const repeated = requestWith(['aa', 'b1'])
  for (let nth = 0; nth < 5; nth++) {
    exit(requestWith(['aa', 'cc']), `u${nth}`)
    if (nth > 1) exit(repeated, `u${nth}`, { ranMs: 300 })
    await clock.advance(INTERVAL_MS)
  }
  t.is(quarantine.refusalOf(() => repeated), undefined)
  t.truthy(quarantine.refusalOf(() => requestWith(['aa', 'cc'])))
})

test('calls that a proxy accepts for an upstream that has exited count as one exit, at whichever boxes', async (t) => {
  const { clock, quarantine, exit } = startQuarantine()
  const equal = requestWith([], { content: 'equal' })
  // The list shows only now that the upstream has gone, while each of the calls was interrupted at once.
  for (let nth = 0; nth < 6; nth++) exit(equal, 'u1', { ageMs: 6000 - 900 * nth, exitKnownAfterMs: 6000 - 900 * nth, ranMs: 5 })
  t.is(quarantine.refusalOf(() => equal), undefined)
  await clock.advance(INTERVAL_MS)
  exit(equal, 'u2')
  await clock.advance(INTERVAL_MS)
  t.is(quarantine.refusalOf(() => equal), undefined)
  exit(equal, 'u3')
  t.truthy(quarantine.refusalOf(() => equal))
})
