import { type FakeFleet, FakeRelayCaller } from '@reelspan/utils.fake-fleet'
import test, { type ExecutionContext } from 'ava'
import { DECODE_ENGINES, HOST, startFleet } from './__utils__/crashingRequests.js'

const STREAMS_PER_SECOND = 15
const ROLL_SECONDS = 20
const ROLL_INTERVAL_MS = 1300
/** A leaving engine ends after this time, with the streams that still run there. */
const LEAVING_MS = 900
const RESTARTED_MS = 300
const KILL_INTERVAL_MS = 1700
const BOX_DOWN_MS = 1000
const CUT_AFTER_MS = 5000
const CUT_MS = 4000
/** Longer than clients may take streams up. */
const COVERED_MS = 20_000
const MAX_TRIES = 4
/** One of so many clients closes its connection while it receives events, and takes the stream up. */
const LEAVING_SHARE = 5
const LEFT_AFTER_MS = 500
const RETRY_MS = 150
/** At most this many streams may hold events of two versions. */
const MAX_MIXED = 2
/** Of the streams that are taken up while their version serves, as a share of the share of new streams that begin. */
const MIN_SHARE_TAKEN_UP = 0.9

interface Try {
  id: string
  /** The attempt that began the stream, if this one takes it up. */
  resumes?: string
  caller: FakeRelayCaller
  /** Whether two engines of the stream's version took work all the while, and the box that began it could be reached or was down. */
  isServable: boolean
}

/** The software that runs at each engine, whatever the list says. */
class RunningVersions {
  readonly #fleet: FakeFleet
  readonly #starts = new Map<string, { atMs: number, version: string }[]>()
  readonly #leaving = new Set<string>()

  constructor (fleet: FakeFleet) {
    this.#fleet = fleet
    DECODE_ENGINES.forEach((engine) => this.#start(engine, 'v1'))
  }

  versionAt (engine: string, atMs: number): string | undefined {
    return this.#starts.get(engine)?.findLast((start) => start.atMs <= atMs)?.version
  }

  /** Number of engines of a version that take work. */
  servingCount (version: string): number {
    return DECODE_ENGINES.filter((engine) => !this.#leaving.has(engine) && this.#starts.get(engine)?.at(-1)?.version === version).length
  }

  /** Replaces the engines one after the other. */
  async roll (version: string): Promise<void> {
    for (const engine of DECODE_ENGINES.slice(0, Math.floor(ROLL_SECONDS * 1000 / ROLL_INTERVAL_MS))) {
      this.#leaving.add(engine)
      this.#fleet.publishUpstream(engine, { leaving: true })
      await this.#fleet.clock.sleep(LEAVING_MS)
      void this.#fleet.crash(engine)
      await this.#fleet.clock.sleep(RESTARTED_MS)
      this.#start(engine, version)
      await this.#fleet.clock.sleep(ROLL_INTERVAL_MS - LEAVING_MS - RESTARTED_MS)
    }
  }

  #start (engine: string, version: string): void {
    this.#starts.set(engine, [...this.#starts.get(engine) ?? [], { atMs: this.#fleet.clock.nowMs(), version }])
    this.#leaving.delete(engine)
    this.#fleet.publishUpstream(engine, { softwareVersion: version, leaving: false })
  }
}

function lastEventOf ({ body }: FakeRelayCaller): string | undefined {
  return [...body.matchAll(/id: (\d+)\ndata: \d+\n\n/g)].at(-1)?.[1]
}

/** Sends a stream, and takes it up at other boxes when it breaks off. Returns its tries. */
async function streamToEnd (fleet: FakeFleet, versions: RunningVersions, name: string, leaves: boolean): Promise<Try[]> {
  const tries: Try[] = []
  let after: string | undefined
  let root: string | undefined
  let rootBox: string | undefined
  for (let i = 0; i < MAX_TRIES; i++) {
    const [box] = fleet.random.sample(fleet.liveBoxes().map((live) => live.name), 1)
    const id = `${name}.${i}`
    const version = root === undefined ? undefined : firstVersion(fleet, versions, root)
    const isServable = () => (version === undefined || versions.servingCount(version) >= 2) && (rootBox === undefined || fleet.network.faultOf(fleet.address(rootBox), fleet.address(box)) === undefined)
    const servableBefore = isServable()
    const caller = new FakeRelayCaller()
    if (i === 0 && leaves) void fleet.clock.sleep(LEFT_AFTER_MS).then(() => caller.left.abort())
    await fleet.relay(box, { id, host: HOST, target: `/reply/${name}`, resumeAfter: after, resumesAttempt: root }, 14_000, caller)
    tries.push({ id, resumes: root, caller, isServable: servableBefore && isServable() })
    const last = lastEventOf(caller)
    if (last !== undefined) {
      after = last
      root ??= id
      rootBox ??= box
    }
    if (caller.complete) return tries
    await fleet.clock.sleep(RETRY_MS)
  }
  return tries
}

/** The version that brought an attempt's first event: that of its last run from the start. */
function firstVersion (fleet: FakeFleet, versions: RunningVersions, attempt: string): string | undefined {
  const began = fleet.relayedUpstreams.arrivals.filter(({ id, prefill, resumeAfter }) => id === attempt && !prefill && resumeAfter === undefined).at(-1)
  return began && versions.versionAt(began.upstream, began.atMs)
}

async function killBoxes (fleet: FakeFleet): Promise<void> {
  const untilMs = fleet.clock.nowMs() + ROLL_SECONDS * 1000
  while (fleet.clock.nowMs() < untilMs) {
    await fleet.clock.sleep(KILL_INTERVAL_MS)
    const [{ name }] = fleet.random.sample(fleet.liveBoxes(), 1)
    fleet.kill(name)
    await fleet.clock.sleep(BOX_DOWN_MS)
    await fleet.startBox(name)
  }
}

async function checkRoll (t: ExecutionContext, fleet: FakeFleet, disturb: () => Promise<void>): Promise<void> {
  const versions = new RunningVersions(fleet)
  await fleet.clock.advance(3000)
  const streams: Promise<Try[]>[] = []
  void versions.roll('v2')
  void disturb()
  for (let i = 0; i < STREAMS_PER_SECOND * ROLL_SECONDS; i++) {
    streams.push(streamToEnd(fleet, versions, `s${i}`, i % LEAVING_SHARE === 0))
    await fleet.clock.advance(1000 / STREAMS_PER_SECOND)
  }
  const tries = (await fleet.clock.run(Promise.all(streams))).flat()
  const mixed = tries.filter(({ id, resumes }) => {
    const goesOn = fleet.relayedUpstreams.arrivals.filter((arrival) => arrival.id === id && !arrival.prefill && arrival.resumeAfter !== undefined)
    return goesOn.some(({ upstream, atMs }) => versions.versionAt(upstream, atMs) !== firstVersion(fleet, versions, resumes ?? id))
  })
  const begun = tries.filter(({ resumes }) => resumes === undefined)
  const takenUp = tries.filter(({ resumes, isServable }) => resumes !== undefined && isServable)
  const wentOn = takenUp.filter(({ caller }) => caller.complete || lastEventOf(caller) !== undefined)
  const shareBegun = begun.filter(({ caller }) => lastEventOf(caller) !== undefined).length / begun.length
  const codes = tries.filter(({ resumes, caller }) => resumes !== undefined && caller.refused).map(({ caller }) => caller.refused?.code)
  t.log(`${begun.length} streams, ${shareBegun.toFixed(3)} began; ${wentOn.length} of ${takenUp.length} taken up went on; refused: ${[...new Set(codes)].map((code) => `${codes.filter((one) => one === code).length} ${code}`).join(', ') || 'none'}`)
  t.true(mixed.length <= MAX_MIXED, `${mixed.length} streams of two versions`)
  t.true(takenUp.length >= 10, `${takenUp.length} streams were taken up`)
  t.true(wentOn.length / takenUp.length >= MIN_SHARE_TAKEN_UP * shareBegun, `${wentOn.length} of ${takenUp.length} went on`)
}

for (const boxCount of [9, 88]) {
  test(`streams keep their software version during a rolling change in which boxes are killed in series (${boxCount} boxes)`, async (t) => {
    const fleet = await startFleet({ boxCount })
    await fleet.clock.advance(COVERED_MS)
    await checkRoll(t, fleet, () => killBoxes(fleet))
  })

  test(`streams keep their software version during a rolling change in which an availability zone is cut off (${boxCount} boxes)`, async (t) => {
    const fleet = await startFleet({ boxCount, seed: 2 })
    await fleet.clock.advance(COVERED_MS)
    await checkRoll(t, fleet, async () => {
      await fleet.clock.sleep(CUT_AFTER_MS)
      fleet.isolateZone('hall-c')
      await fleet.clock.sleep(CUT_MS)
      fleet.network.healAll()
      await killBoxes(fleet)
    })
  })
}
