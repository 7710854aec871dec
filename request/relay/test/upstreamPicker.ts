import { type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { UpstreamPicker } from '@reelspan/request.relay'
import { UpstreamHealth } from '@reelspan/upstream.health'
import { NodeClock, SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function upstream (name: string, availabilityZone: string): ListedUpstream {
  return { name, kind: UpstreamKind.Service, address: `${name}:1`, availabilityZone, pool: 'desk', leaving: false }
}

const LISTED = [upstream('a1', 'a'), upstream('b1', 'b'), upstream('c1', 'c')]
const NONE = new Set<string>()

function createPicker () {
  const clock = new VirtualClock()
  const health = new UpstreamHealth({ clock: new NodeClock(clock) })
  const failing = new Set<string>()
  const picker = new UpstreamPicker({ clock: new NodeClock(clock), random: new SeededRandom(3), health, isFailing: (upstream) => failing.has(upstream), availabilityZone: () => 'a' })
  return { clock, picker }
}

test('a call stays in its availability zone', (t) => {
  const { picker } = createPicker()
  t.is(picker.pick(LISTED, NONE)?.name, 'a1')
})

test('a call goes to another zone when this box has two in flight in its own', (t) => {
  const { picker } = createPicker()
  picker.recordStart('a1')
  t.is(picker.pick(LISTED, NONE)?.name, 'a1')
  picker.recordStart('a1')
  t.not(picker.pick(LISTED, NONE)?.name, 'a1')
  picker.recordEnd('a1')
  t.is(picker.pick(LISTED, NONE)?.name, 'a1')
})

test('an upstream with slow or refused calls is avoided for some seconds', async (t) => {
  const { clock, picker } = createPicker()
  for (let i = 0; i < 5; i++) {
    picker.recordLatency('a1', 300)
    picker.recordLatency('b1', 60)
    picker.recordLatency('c1', 80)
  }
  t.is(picker.pick(LISTED, NONE)?.name, 'b1')
  await clock.advance(10_000)
  t.is(picker.pick(LISTED, NONE)?.name, 'a1')
})

test('noise in few samples sends no calls to another zone', (t) => {
  const { picker } = createPicker()
  const random = new SeededRandom(4)
  const names = ['a1', 'b1', 'c1']
  for (let i = 0; i < 30; i++) picker.recordLatency(names[i % 3], 60 + 30 * (random.nextFloat() - 0.5))
  t.is(picker.pick(LISTED, NONE)?.name, 'a1')
})

test('an upstream that failed the request before is not picked again', (t) => {
  const { picker } = createPicker()
  t.not(picker.pick(LISTED, new Set(['a1']))?.name, 'a1')
  t.is(picker.pick(LISTED.slice(0, 1), new Set(['a1'])), undefined)
})

test('a restarted upstream does not inherit the latency or the calls in flight of its earlier instance', async (t) => {
  const { clock, picker } = createPicker()
  for (let i = 0; i < 5; i++) {
    picker.recordLatency('a1@1000', 900)
    picker.recordLatency('b1', 60)
    picker.recordLatency('c1', 60)
    picker.recordStart('a1@1000')
  }
  t.not(picker.pick([upstream('a1@1000', 'a'), upstream('b1', 'b'), upstream('c1', 'c')], NONE)?.name, 'a1@1000')
  const restarted = [upstream('a1@2000', 'a'), upstream('b1', 'b'), upstream('c1', 'c')]
  picker.retain(new Set(restarted.map(({ name }) => name)))
  t.is(picker.inFlightAt('a1@2000'), 0)
  const withUnknown = [upstream('a2', 'a'), upstream('b1', 'b'), upstream('c1', 'c')]
  t.is(picker.pick(restarted, NONE)?.name === 'a1@2000', picker.pick(withUnknown, NONE)?.name === 'a2')
  // An unknown upstream is expected to have the mean latency of all calls, to which all estimates decay.
  await clock.advance(20_000)
  t.is(picker.pick(restarted, NONE)?.name, 'a1@2000')
  Array.from({ length: 5 }, () => picker.recordEnd('a1@1000'))
  t.is(picker.inFlightAt('a1@2000'), 0)
  t.is(picker.inFlightAt('a1@1000'), 0)
})
