import { type BrokenRun, BrokenRuns } from '@reelspan/request.quarantine'
import { Log, LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { Metrics } from '@reelspan/telemetry.metrics'
import { UpstreamPresence, UpstreamProbe } from '@reelspan/upstream.client'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

class KeptLog extends Log {
  readonly lines: (LogFields & { event: LogEvent })[] = []

  info (event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, ...fields })
  }

  warn (event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, ...fields })
  }
}

/** Takes some ms, and counts how often it looked. */
class CountingProbe extends UpstreamProbe {
  looks = 0
  readonly #clock: VirtualClock

  constructor (clock: VirtualClock) {
    super()
    this.#clock = clock
  }

  async look (address: string): Promise<UpstreamPresence> {
    this.looks++
    await this.#clock.sleep(5)
    return address === '10.0.1.1:1' ? UpstreamPresence.Refuses : UpstreamPresence.Listens
  }
}

function startBrokenRuns () {
  const clock = new VirtualClock()
  const log = new KeptLog()
  const probe = new CountingProbe(clock)
  const metrics = new Metrics()
  const brokenRuns = new BrokenRuns({ clock, probe, log, metrics })
  const run = (over: Partial<BrokenRun> = {}): BrokenRun => ({ request: 'r1', route: 'draft', identity: { content: 'c', caller: 'w' }, upstream: 'd1', address: '10.0.1.1:1', sentAtMs: clock.nowMs() - 90, reason: 'ended the connection', ...over })
  return { clock, log, probe, metrics, brokenRuns, run }
}

test('a broken run is told of with the request that ran, and whether its upstream has ended', async (t) => {
  const { clock, log, metrics, brokenRuns, run } = startBrokenRuns()
  void brokenRuns.note(run())
  void brokenRuns.note(run({ request: 'r2', upstream: 'd2', address: '10.0.1.2:1' }))
  await clock.advance(10)
  t.like(log.lines, [
    { event: LogEvent.RunBrokeOff, request: 'r1', upstream: 'd1', presence: UpstreamPresence.Refuses, ranMs: 90, contentHash: 'c', callerHash: 'w' },
    { event: LogEvent.RunBrokeOff, request: 'r2', upstream: 'd2', presence: UpstreamPresence.Listens },
  ])
  t.regex(metrics.exposition(), /reelspan_runs_broken_off_total\{presence="refuses"\} 1/)
})

test('an upstream whose runs break off together is looked at once', async (t) => {
  const { clock, log, probe, brokenRuns, run } = startBrokenRuns()
  await clock.run(Promise.all(Array.from({ length: 64 }, (_, i) => brokenRuns.note(run({ request: `r${i}` })))))
  t.is(probe.looks, 1)
  t.is(log.lines.length, 64)
})
