import { type LossEvidence } from '../lib/upstreamPaths.js'
import { FailureCause, UpstreamPaths } from '@reelspan/upstream.paths'
import { UpstreamProbe, UpstreamProbeResult } from '@reelspan/upstream.client'
import { SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const PROBE_TIMEOUT_MS = 300
const ROUND_TRIP_MS = 1
const ADDRESSES = Array.from({ length: 8 }, (_, i) => `10.1.0.${i + 1}:80`)

/** Upstreams that accept, refuse or ignore connections. */
class ScriptedProbe extends UpstreamProbe {
  readonly #clock: VirtualClock
  resultAt: (address: string) => UpstreamProbeResult = () => UpstreamProbeResult.Listening
  probes = 0

  constructor (clock: VirtualClock) {
    super()
    this.#clock = clock
  }

  async probe (address: string): Promise<UpstreamProbeResult> {
    this.probes++
    const result = this.resultAt(address)
    await this.#clock.sleep(result === UpstreamProbeResult.Unresponsive ? PROBE_TIMEOUT_MS : ROUND_TRIP_MS)
    return result
  }
}

function createPaths (addresses = ADDRESSES) {
  const clock = new VirtualClock()
  const probe = new ScriptedProbe(clock)
  const losses: { evidence: LossEvidence, atMs: number }[] = []
  const regained: number[] = []
  const paths = new UpstreamPaths({
    clock,
    random: new SeededRandom(1),
    probe,
    addresses: () => addresses,
    onLost: (evidence) => losses.push({ evidence, atMs: clock.nowMs() }),
    onRegained: () => regained.push(clock.nowMs()),
  })
  return { clock, probe, paths, losses, regained }
}

test('paths whose connections are refused are lost at the first failure, and regained within a second of the end', async (t) => {
  const { clock, probe, paths, losses, regained } = createPaths()
  probe.resultAt = () => UpstreamProbeResult.Refused
  const cutAtMs = clock.nowMs()
  paths.recordFailure()
  await clock.advance(10)
  t.true(paths.lost)
  t.like(losses[0].evidence, { probed: 6, refused: 6 })
  t.true(losses[0].atMs - cutAtMs < 10)
  await clock.advance(2000)
  probe.resultAt = () => UpstreamProbeResult.Listening
  const healedAtMs = clock.nowMs()
  await clock.advance(1000)
  t.false(paths.lost)
  t.true(regained[0] - healedAtMs < 1000)
  await clock.run(paths.stop())
})

test('paths whose connections hang are lost within a second while a request is outstanding', async (t) => {
  const { clock, probe, paths, losses } = createPaths()
  probe.resultAt = () => UpstreamProbeResult.Unresponsive
  const end = paths.trackRequest()
  const cutAtMs = clock.nowMs()
  await clock.advance(1000)
  t.true(paths.lost)
  t.true(losses[0].atMs - cutAtMs < 1000)
  t.is(losses[0].evidence.refused, 0)
  end()
  await clock.run(paths.stop())
})

test('a box that has had nothing to do is not taken for silent while machines refuse its connections', async (t) => {
  const { clock, probe, paths } = createPaths()
  probe.resultAt = () => UpstreamProbeResult.Refused
  paths.recordFailure()
  await clock.advance(1000)
  t.true(paths.lost)
  t.false(paths.silent)
  const end = paths.trackRequest()
  await clock.advance(300)
  t.false(paths.silent)
  await clock.advance(200)
  t.true(paths.silent)
  paths.recordReceived()
  t.false(paths.silent)
  end()
  await clock.run(paths.stop())
})

test('a box whose connections hang is taken for silent even if no answer is outstanding', async (t) => {
  const { clock, probe, paths } = createPaths()
  probe.resultAt = () => UpstreamProbeResult.Unresponsive
  paths.recordFailure()
  await clock.advance(1000)
  t.true(paths.lost)
  t.true(paths.silent)
  await clock.run(paths.stop())
})

test('an upstream that is down or silent for a second does not mean that paths are lost', async (t) => {
  for (const result of [UpstreamProbeResult.Refused, UpstreamProbeResult.Unresponsive]) {
    const { clock, probe, paths, losses } = createPaths()
    probe.resultAt = (address) => address === ADDRESSES[0] ? result : UpstreamProbeResult.Listening
    const end = paths.trackRequest()
    for (let i = 0; i < 20; i++) {
      paths.recordFailure()
      await clock.advance(100)
    }
    t.deepEqual(losses, [])
    t.is(await clock.run(paths.judge()), FailureCause.Upstream)
    end()
    await clock.run(paths.stop())
  }
})

test('several upstreams that are down do not mean that paths are lost while another one accepts connections', async (t) => {
  const { clock, probe, paths, losses } = createPaths()
  probe.resultAt = (address) => ADDRESSES.slice(0, 5).includes(address) ? UpstreamProbeResult.Unresponsive : UpstreamProbeResult.Listening
  for (let i = 0; i < 50; i++) {
    paths.recordFailure()
    await clock.advance(400)
  }
  t.deepEqual(losses, [])
  await clock.run(paths.stop())
})

test('no loss is detected while all upstreams are on a single machine', async (t) => {
  for (const addresses of [[], ['10.1.0.1:80'], ['10.1.0.1:80', '10.1.0.1:81']]) {
    const { clock, probe, paths } = createPaths(addresses)
    probe.resultAt = () => UpstreamProbeResult.Refused
    t.is(await clock.run(paths.judge()), FailureCause.Unknown)
    t.false(paths.lost)
    await clock.run(paths.stop())
  }
})

test('lost paths are regained when the upstreams that remain are on a single machine', async (t) => {
  const addresses = [...ADDRESSES]
  const { clock, probe, paths } = createPaths(addresses)
  probe.resultAt = () => UpstreamProbeResult.Refused
  paths.recordFailure()
  await clock.advance(10)
  t.true(paths.lost)
  addresses.splice(1)
  await clock.advance(1000)
  t.false(paths.lost)
  await clock.run(paths.stop())
})

test('requests that are answered cause no probes, however long they take', async (t) => {
  const { clock, probe, paths } = createPaths()
  const ends = [paths.trackRequest(), paths.trackRequest()]
  for (let i = 0; i < 20; i++) {
    await clock.advance(300)
    paths.recordReceived()
  }
  ends.forEach((end) => end())
  await clock.advance(5000)
  t.is(probe.probes, 0)
  await clock.run(paths.stop())
})

test('a request that takes long is checked ever more rarely', async (t) => {
  const { clock, probe, paths, losses } = createPaths()
  const end = paths.trackRequest()
  await clock.advance(20_000)
  t.true(probe.probes <= 14, `${probe.probes}`)
  t.deepEqual(losses, [])
  end()
  await clock.run(paths.stop())
})

test('failures in quick succession are checked a few times a second, each after it occurred', async (t) => {
  const { clock, probe, paths, losses } = createPaths()
  for (let i = 0; i < 100; i++) {
    paths.recordFailure()
    await clock.advance(10)
  }
  t.true(probe.probes <= 12, `${probe.probes}`)
  probe.resultAt = () => UpstreamProbeResult.Refused
  paths.recordFailure()
  await clock.advance(400)
  t.is(losses.length, 1)
  await clock.run(paths.stop())
})

test('paths that flap are regained after a longer time without a failure', async (t) => {
  const { clock, probe, paths, losses, regained } = createPaths()
  const end = paths.trackRequest()
  for (let i = 0; i < 10; i++) {
    probe.resultAt = () => UpstreamProbeResult.Refused
    paths.recordFailure()
    await clock.advance(300)
    probe.resultAt = () => UpstreamProbeResult.Listening
    await clock.advance(600)
  }
  t.true(losses.length <= 3, `${losses.length} losses in 10 cuts`)
  await clock.advance(1000)
  t.false(paths.lost)
  t.is(regained.length, losses.length)
  end()
  await clock.run(paths.stop())
})

test('a check during which the process was paused proves nothing', async (t) => {
  const { clock, probe, paths, losses } = createPaths()
  probe.resultAt = () => UpstreamProbeResult.Unresponsive
  const pausedProbe = probe.probe.bind(probe)
  probe.probe = async (address) => {
    await clock.sleep(3000)
    return pausedProbe(address)
  }
  t.is(await clock.run(paths.judge()), FailureCause.Unknown)
  t.deepEqual(losses, [])
  await clock.run(paths.stop())
})

test('waitUntilLost resolves when a loss is detected', async (t) => {
  const { clock, probe, paths } = createPaths()
  probe.resultAt = () => UpstreamProbeResult.Refused
  const waiting = paths.waitUntilLost(new AbortController().signal)
  paths.recordFailure()
  await clock.run(waiting)
  t.true(paths.lost)
  await clock.run(paths.stop())
})
