import { keyDigest } from '@reelspan/accounts.keys'
import { LimitUnit, ResourceKind } from '@reelspan/config.resources'
import { ErrorCode, Verdict } from '@reelspan/core.error'
import { Collection } from '@reelspan/core.messages'
import { LimitDecider } from '@reelspan/membership.limits'
import { LogEvent } from '@reelspan/telemetry.log'
import { FakeFleet, type FakeFleetOptions } from '@reelspan/utils.fake-fleet'
import { maxWindowUsage, type PublishedEntry, sampleDeclarations } from '@reelspan/utils.fakes'
import test from 'ava'

const HOST = 'scripts.example'
const KEY_PROOF_MS = 5000
const SETTINGS = {
  accounts: { required: true, keyProofMs: KEY_PROOF_MS },
  membership: { probePeriodMs: 700, probeTimeoutMs: 300 },
  platform: { watchWaitMs: 3000, longestBackoffMs: 700, watchersPerAvailabilityZone: 1 },
}
const PER_SECOND = 20
const BURST = 20
const ROUTE: PublishedEntry = { kind: ResourceKind.Route, name: 'status', spec: { host: HOST, pathPrefix: '/status/', targets: [{ pool: 'script-desk' }], maxAttempts: 2, deadlineMs: 4000, ttftTargetMs: 1000 } }

function accountWith (keys: readonly string[], limited = false): PublishedEntry {
  const limit = limited ? { unit: LimitUnit.Requests, perSecond: PER_SECOND, burst: BURST } : undefined
  return { kind: ResourceKind.Account, name: 'bank', spec: { keyDigests: keys.map(keyDigest), limit } }
}

async function startFleet (opts: FakeFleetOptions = {}, account = accountWith(['k1', 'k2'])): Promise<FakeFleet> {
  return new FakeFleet({ settings: SETTINGS, declarations: [...sampleDeclarations(), ROUTE, account], ...opts }).start()
}

let nextId = 0

function sendRequest (fleet: FakeFleet, box: string, key: string) {
  return fleet.relay(box, { id: `r-${nextId++}`, host: HOST, target: '/status/1', prompt: undefined, keyDigest: keyDigest(key) })
}

async function refusalCode (fleet: FakeFleet, box: string, key: string): Promise<ErrorCode | undefined> {
  return (await fleet.clock.run(sendRequest(fleet, box, key))).refused?.code
}

function revokeKey (fleet: FakeFleet): void {
  fleet.platform.publish(Collection.Declarations, [accountWith(['k2'])])
}

test('a revoked key is refused at every box within a second, while the other keys keep working', async (t) => {
  const fleet = await startFleet()
  revokeKey(fleet)
  await fleet.clock.advance(1000)
  for (const { name } of fleet.boxes) {
    t.is(await refusalCode(fleet, name, 'k1'), ErrorCode.AccountKey)
    t.is(await refusalCode(fleet, name, 'k2'), undefined)
  }
  await fleet.stop()
})

test('boxes that cannot reach the platform renew their freshness proof through peers, and apply revocations', async (t) => {
  const fleet = await startFleet()
  const cutOff = fleet.boxes.slice(0, 3)
  cutOff.forEach(({ address }) => fleet.platform.unresponsiveTo.add(address))
  await fleet.clock.advance(2 * KEY_PROOF_MS)
  revokeKey(fleet)
  await fleet.clock.advance(1500)
  for (const { name } of cutOff) {
    t.is(await refusalCode(fleet, name, 'k1'), ErrorCode.AccountKey)
    t.is(await refusalCode(fleet, name, 'k2'), undefined)
  }
  await fleet.stop()
})

test('an isolated box refuses a revoked key once its freshness proof has expired, and refuses other keys as not run', async (t) => {
  const fleet = await startFleet()
  const { name, address } = fleet.boxes[0]
  fleet.isolate(name)
  fleet.platform.unresponsiveTo.add(address)
  revokeKey(fleet)
  await fleet.clock.advance(KEY_PROOF_MS)
  const late = await fleet.clock.run(sendRequest(fleet, name, 'k1'))
  t.like(late.refused, { code: ErrorCode.AccountsUnproved, verdict: Verdict.NotRun })
  t.true((late.refused?.retryAfterMs ?? 0) > 0)
  t.is(await refusalCode(fleet, name, 'k2'), ErrorCode.AccountsUnproved)
  t.false(fleet.box(name).box.admission.hasFreshProof)
  await fleet.stop()
})

test('boxes that reach only each other lose their freshness proof after the bound', async (t) => {
  const fleet = await startFleet()
  fleet.boxes.forEach(({ address }) => fleet.platform.unresponsiveTo.add(address))
  revokeKey(fleet)
  await fleet.clock.advance(KEY_PROOF_MS)
  for (const { name } of fleet.boxes) t.is(await refusalCode(fleet, name, 'k1'), ErrorCode.AccountsUnproved)
  fleet.platform.unresponsiveTo.clear()
  await fleet.clock.advance(2500)
  for (const { name } of fleet.boxes) t.is(await refusalCode(fleet, name, 'k2'), undefined)
  await fleet.stop()
})

test('a box that was paused does not accept a key that was revoked meanwhile', async (t) => {
  const fleet = await startFleet()
  const { name, clock } = fleet.boxes[0]
  clock.pause()
  revokeKey(fleet)
  await fleet.clock.advance(KEY_PROOF_MS + 1000)
  clock.resume()
  t.not(await refusalCode(fleet, name, 'k1'), undefined)
  await fleet.stop()
})

test('a box whose machine was suspended does not accept a key that was revoked meanwhile', async (t) => {
  const fleet = await startFleet()
  const { name, box, clock } = fleet.boxes[0]
  const suspended = clock.suspendFor(KEY_PROOF_MS + 1000)
  revokeKey(fleet)
  await fleet.clock.run(suspended)
  // In production the clock watch calls this when it sees the wall clock jump.
  void box.handleClockJump(KEY_PROOF_MS + 1000)
  t.not(await refusalCode(fleet, name, 'k1'), undefined)
  await fleet.stop()
})

test('a box that starts during a platform outage has no freshness proof, whatever configuration it gets from peers', async (t) => {
  const fleet = await startFleet()
  fleet.boxes.forEach(({ address }) => fleet.platform.unresponsiveTo.add(address))
  await fleet.clock.advance(KEY_PROOF_MS)
  const { name } = fleet.boxes[0]
  fleet.kill(name)
  await fleet.clock.run(fleet.startBox(name))
  t.is(await refusalCode(fleet, name, 'k1'), ErrorCode.AccountsUnproved)
  await fleet.stop()
})

test('an account stays within its limit across all boxes, even during a rolling restart', async (t) => {
  const fleet = await startFleet({}, accountWith(['k1'], true))
  const from = fleet.clock.nowMs()
  const restarts = (async () => {
    for (const { name } of [...fleet.boxes]) {
      await fleet.clock.sleep(1200)
      fleet.kill(name)
      await fleet.startBox(name)
    }
  })()
  const callers: Promise<unknown>[] = []
  for (let i = 0; i < 1000; i++) {
    await fleet.clock.advance(10)
    const up = fleet.liveBoxes()
    callers.push(sendRequest(fleet, up[i % up.length].name, 'k1'))
  }
  await fleet.clock.run(Promise.all([restarts, ...callers]))
  const runs = fleet.relayedUpstreams.arrivals.map(({ sentAtMs }) => ({ atMs: sentAtMs - from, cost: 1 }))
  t.true(maxWindowUsage(runs, { perSecond: PER_SECOND, burst: BURST, windowMs: 8000, overage: 0.25, slack: BURST }) <= 1)
  t.true(runs.length > 0.9 * 10 * PER_SECOND)
  await fleet.stop()
})

test('a refusal for a limit says who decided it and with which share of the limit', async (t) => {
  const fleet = await startFleet({}, accountWith(['k1'], true))
  const { name, log, metrics } = fleet.boxes[0]
  await fleet.clock.run(Promise.all(Array.from({ length: 2 * BURST }, () => sendRequest(fleet, name, 'k1'))))
  const refused = log.entries.find(({ event }) => event === LogEvent.AccountRefused)
  t.like(refused?.fields, { why: 'limit', account: 'bank', cost: 1, decidedBy: LimitDecider.Coordinator, limitShare: 1 })
  t.regex(metrics.exposition(), /reelspan_account_decisions_total\{.*by="coordinator".*outcome="refused".*\}/)
  await fleet.stop()
})
