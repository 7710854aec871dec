import { UpstreamProbe, UpstreamProbeResult } from '@reelspan/upstream.client'
import { FailureCause, KindPaths, UpstreamPaths } from '@reelspan/upstream.paths'
import { SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const ENGINES = ['10.1.0.1:80', '10.1.0.2:80', '10.1.0.3:80']
const SERVICES = ['10.2.0.1:80', '10.2.0.2:80']

class RefusingProbe extends UpstreamProbe {
  refused: readonly string[] = []

  async probe (address: string): Promise<UpstreamProbeResult> {
    return this.refused.includes(address) ? UpstreamProbeResult.Refused : UpstreamProbeResult.Listening
  }
}

function createKindPaths () {
  const clock = new VirtualClock()
  const probe = new RefusingProbe()
  const others = { reach: true }
  const create = (addresses: readonly string[]) => new UpstreamPaths({ clock, random: new SeededRandom(1), probe, addresses: () => addresses, onLost: () => {}, onRegained: () => {} })
  const [all, ofEngines, ofServices] = [create([...ENGINES, ...SERVICES]), create(ENGINES), create(SERVICES)]
  const engines = new KindPaths({ all, ofKind: ofEngines, othersReach: () => others.reach })
  const services = new KindPaths({ all, ofKind: ofServices, othersReach: () => others.reach })
  const stop = () => clock.run(Promise.all([all, ofEngines, ofServices].map((paths) => paths.stop())))
  return { clock, probe, others, engines, services, stop }
}

test('a box that reaches the services and no engine has lost its paths to the engines alone', async (t) => {
  const { clock, probe, engines, services, stop } = createKindPaths()
  probe.refused = ENGINES
  t.is(await clock.run(engines.judge()), FailureCause.OwnPaths)
  t.is(await clock.run(services.judge()), FailureCause.Upstream)
  t.true(engines.lost)
  t.false(services.lost)
  await clock.run(engines.waitUntilLost(new AbortController().signal))
  probe.refused = []
  await clock.advance(1000)
  t.false(engines.lost)
  await stop()
})

test('engines that no box reaches are down, and the paths to them are not lost', async (t) => {
  const { clock, probe, others, engines, stop } = createKindPaths()
  probe.refused = ENGINES
  others.reach = false
  t.is(await clock.run(engines.judge()), FailureCause.Upstream)
  t.false(engines.lost)
  const waiting = new AbortController()
  let lost = false
  const wait = engines.waitUntilLost(waiting.signal).then(() => { lost = true })
  await clock.advance(1000)
  t.false(lost)
  waiting.abort()
  await clock.run(wait)
  await stop()
})

test('paths to all upstreams that are lost are those to each kind, whatever other boxes reach', async (t) => {
  const { clock, probe, others, engines, services, stop } = createKindPaths()
  probe.refused = [...ENGINES, ...SERVICES]
  others.reach = false
  t.is(await clock.run(services.judge()), FailureCause.OwnPaths)
  t.true(services.lost)
  t.true(engines.lost)
  await stop()
})
