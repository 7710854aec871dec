import { keyDigest } from '@reelspan/accounts.keys'
import { PoolRole, LimitUnit, ResourceKind } from '@reelspan/config.resources'
import { UpstreamKind } from '@reelspan/config.fleet'
import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { type PublishedEntry, sampleDeclarations } from '@reelspan/utils.fakes'
import test from 'ava'

const HOST = 'drafts.example'
const SECONDS = 10
/** Two engines of 8 slots; a stream of the fake upstreams takes 850 ms. */
const CAPACITY_PER_SECOND = 2 * 8 / 0.85
const SMALL = ['a', 'b', 'c', 'd']
/** Relative to the capacity, each of five accounts has a share of 0.2. */
const LOADS = [{ account: 'flood', perSecond: 1.5 * CAPACITY_PER_SECOND }, ...SMALL.map((account) => ({ account, perSecond: 0.1375 * CAPACITY_PER_SECOND }))]
const SETTINGS = { accounts: { required: true, keyProofMs: 5000 }, membership: { probePeriodMs: 700, probeTimeoutMs: 300 }, platform: { watchWaitMs: 3000, longestBackoffMs: 700, watchersPerAvailabilityZone: 1 } }

function declarations (limited: boolean): PublishedEntry[] {
  const limit = limited ? { unit: LimitUnit.Tokens, perSecond: 60_000, burst: 60_000 } : undefined
  return [
    ...sampleDeclarations().filter(({ name }) => name !== 'draft-decode'),
    { kind: ResourceKind.Pool, name: 'draft-decode', spec: { role: PoolRole.Decode, placesPerEngine: 8, kvBytesPerEngine: 4_000_000_000, linkBytesPerSecond: 5_000_000_000 } },
    { kind: ResourceKind.Route, name: 'reply', spec: { host: HOST, pathPrefix: '/reply/', targets: [{ model: 'draft' }], streaming: true, maxAttempts: 2, deadlineMs: 10_000, ttftTargetMs: 900, tbtTargetMs: 300 } },
    ...LOADS.map(({ account }) => ({ kind: ResourceKind.Account, name: account, spec: { keyDigests: [keyDigest(account)], limit } })),
  ]
}

function deployment () {
  const upstreams = (pool: string, count: number) => Array.from({ length: count }, (_, i) => ({ name: `${pool}-${i + 1}`, kind: UpstreamKind.Engine, pool, availabilityZone: 'a' }))
  return { boxes: Array.from({ length: 8 }, (_, i) => ({ name: `box-${i + 1}`, availabilityZone: 'a' })), upstreams: [...upstreams('draft-prefill', 3), ...upstreams('draft-decode', 2)] }
}

/** Plays the load at random boxes. Returns the part of each account's calls that were answered, without retries. */
async function play (limited: boolean, disturb: (fleet: FakeFleet) => void = () => {}, seed = 5) {
  const fleet = await new FakeFleet({ settings: SETTINGS, declarations: declarations(limited), deployment: deployment(), seed }).start()
  disturb(fleet)
  await fleet.clock.advance(500)
  const { clock, random } = fleet
  const tallies = new Map(LOADS.map(({ account }) => [account, { sent: 0, served: 0 }]))
  const call = async (account: string, id: string) => {
    const tally = tallies.get(account) as { sent: number, served: number }
    tally.sent++
    const [{ name }] = random.sample(fleet.liveBoxes(), 1)
    const { complete, status } = await fleet.relay(name, { id, host: HOST, target: `/reply/${id}`, keyDigest: keyDigest(account) })
    if (complete && status === 200) tally.served++
  }
  const endMs = clock.nowMs() + SECONDS * 1000
  await clock.run(Promise.all(LOADS.map(async ({ account, perSecond }) => {
    const calls: Promise<void>[] = []
    while (clock.nowMs() < endMs) {
      calls.push(call(account, `${account}-${calls.length}`))
      await clock.sleep(-Math.log(1 - random.nextFloat()) * 1000 / perSecond)
    }
    await Promise.all(calls)
  })))
  const overShare = fleet.boxes.reduce((sum, { metrics }) => sum + (/reelspan_share_requests_total\{account="flood",outcome="refused",share="over"\} (\d+)/.exec(metrics.exposition())?.[1] ? 1 : 0), 0)
  await fleet.stop()
  return { tallies, overShare }
}

for (const limited of [false, true]) {
  test(`eight boxes serve accounts below their share while another one requests 1.5 times the capacity, ${limited ? 'with' : 'without'} limits in tokens`, async (t) => {
    const { tallies, overShare } = await play(limited)
    t.log([...tallies].map(([account, { sent, served }]) => `${account} ${served} of ${sent}`).join(', '))
    const small = SMALL.map((account) => tallies.get(account) ?? { sent: 1, served: 0 })
    t.true(small.every(({ sent, served }) => served >= 0.85 * sent))
    t.true(small.reduce((sum, { served }) => sum + served, 0) >= 0.95 * small.reduce((sum, { sent }) => sum + sent, 0))
    t.true((tallies.get('flood')?.served ?? 0) >= 0.3 * CAPACITY_PER_SECOND * SECONDS)
    t.true(overShare > 0, 'the metric names the account that exceeds its share')
  })
}

test('with one of two engines lost, each account is served about its share', async (t) => {
  const { tallies } = await play(false, (fleet) => fleet.killEngine('draft-decode-2'))
  t.log([...tallies].map(([account, { sent, served }]) => `${account} ${served} of ${sent}`).join(', '))
  const share = 0.1 * CAPACITY_PER_SECOND * SECONDS
  t.true(SMALL.every((account) => { const { sent, served } = tallies.get(account) ?? { sent: 1, served: 0 }; return served >= 0.75 * Math.min(sent, share) }))
})

test('with one of two engines lost, no account misses its share since others request more than theirs, in ten loads', async (t) => {
  const share = 0.1 * CAPACITY_PER_SECOND * SECONDS
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]) {
    const { tallies } = await play(false, (fleet) => fleet.killEngine('draft-decode-2'), seed)
    const missed = SMALL.filter((account) => { const { sent, served } = tallies.get(account) ?? { sent: 1, served: 0 }; return served < 0.75 * Math.min(sent, share) })
    t.deepEqual(missed, [], `seed ${seed}: ${[...tallies].map(([account, { sent, served }]) => `${account} ${served} of ${sent}`).join(', ')}`)
  }
})
