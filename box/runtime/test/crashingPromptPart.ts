// Guards against a prompt part that crashes every engine, in requests that are never alike.
import { Verdict } from '@reelspan/core.error'
import { PART_QUARANTINE_MS } from '@reelspan/request.quarantine'
import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import test, { type ExecutionContext } from 'ava'
import { CRASHING_PART, crashingTraffic, crashTimes, lateRequests, MAX_LATE_REQUESTS, type PartFleetOptions, play, type PromptTraffic, quarantinedPrompts, sendPrompts, soundShare, soundTraffic, startPartFleet } from './__utils__/crashingParts.js'
import { DECODE_ENGINES } from './__utils__/crashingRequests.js'
import { cutZone, killBoxes, loseRack } from './__utils__/disturbances.js'

const SEEDS = [1, 2, 3]
/** Of the requests without the part that are begun while engines are gone. */
const MIN_SOUND_SHARE = 0.95
/** Crashes of one part where its requests come every 200 ms or slower. */
const MAX_CRASHES = 8
/** Streams of 13 s, none of which ends while engines crash. */
const LONG_STREAMS = { events: 65, eventMs: 200 }

/** Plays crashing traffic beside sound traffic and checks what callers and engines see. */
async function checkPart (t: ExecutionContext, over: Partial<PromptTraffic>, { sound, seed = 1, minSoundShare = MIN_SOUND_SHARE }: { sound?: PromptTraffic, seed?: number, minSoundShare?: number } = {}): Promise<void> {
  const fleet = await startPartFleet({ seed })
  const sent = await play(fleet, { sound, crashing: [crashingTraffic(over)] })
  checkOutcome(t, fleet, sent, { seed, minSoundShare })
  await fleet.stop()
}

function checkOutcome (t: ExecutionContext, fleet: FakeFleet, { sound }: Awaited<ReturnType<typeof play>>, { seed = 1, minSoundShare = MIN_SOUND_SHARE } = {}): void {
  const crashes = crashTimes(fleet).length
  t.true(crashes >= 3, `seed ${seed}: ${crashes} crashes`)
  t.true(crashes <= MAX_CRASHES, `seed ${seed}: ${crashes} crashes`)
  t.true(lateRequests(fleet).length <= MAX_LATE_REQUESTS, `seed ${seed}: ${lateRequests(fleet).length} late requests`)
  t.deepEqual(quarantinedPrompts(sound).map(({ id }) => id), [], `seed ${seed}: sound requests are quarantined`)
  t.true(soundShare(fleet, sound) >= minSoundShare, `seed ${seed}: ${soundShare(fleet, sound)} of the sound requests began`)
}

test('a prompt part that crashes engines reaches no more of them after few exits, at any box', async (t) => {
  for (const seed of SEEDS) await checkPart(t, {}, { seed })
})

test('a prompt part that crashes engines is found in streams that go on elsewhere', async (t) => {
  for (const seed of SEEDS) await checkPart(t, { path: '/reply/' }, { seed })
})

test('a prompt part that crashes engines is found wherever it stands and whatever stands beside it', async (t) => {
  await checkPart(t, { partsOf: () => [CRASHING_PART, 'aa', 'b1'] })
  await checkPart(t, { partsOf: (nth) => ['aa', `b${nth % 3}`, CRASHING_PART] })
  await checkPart(t, { partsOf: () => ['aa', 'b1', CRASHING_PART] })
  await checkPart(t, { partsOf: () => [CRASHING_PART] })
})

test('a prompt part that crashes engines is found when its requests come fast, slowly, from several callers, or again', async (t) => {
  await checkPart(t, { everyMs: 200 })
  await checkPart(t, { everyMs: 900 })
  await checkPart(t, { callerOf: (nth) => `10.9.0.${nth}` })
  await checkPart(t, { copies: 2 })
})

test('a prompt part that crashes engines is found when all its requests come to one box', async (t) => {
  await checkPart(t, { boxes: () => ['box-3'] })
})

test('two prompt parts that crash engines are both found', async (t) => {
  const fleet = await startPartFleet({ crashingParts: ['cc', 'dd'] })
  const { sound } = await play(fleet, { crashing: ['cc', 'dd'].map((part) => crashingTraffic({ name: part, partsOf: (nth) => ['aa', part, `b${nth % 3}`] })) })
  for (const part of ['cc', 'dd']) {
    t.true(crashTimes(fleet, part).length >= 3 && crashTimes(fleet, part).length <= MAX_CRASHES, `${part}: ${crashTimes(fleet, part).length} crashes`)
    t.true(lateRequests(fleet, part).length <= MAX_LATE_REQUESTS, `${part}: ${lateRequests(fleet, part).length} late requests`)
  }
  t.deepEqual(quarantinedPrompts(sound), [])
  await fleet.stop()
})

test('requests beside a prompt part that crashes engines are not quarantined when their callers repeat them', async (t) => {
  const fleet = await startPartFleet()
  const repeated: PromptTraffic = { name: 'repeated', everyMs: 150, durationMs: 10_000, partsOf: () => ['aa', 'b1'], copies: 2 }
  const [{ sound }, again] = await Promise.all([play(fleet, { crashing: [crashingTraffic({ everyMs: 250 })] }), sendPrompts(fleet, repeated)])
  t.true(crashTimes(fleet).length >= 3)
  t.deepEqual([...quarantinedPrompts(sound), ...quarantinedPrompts(again)].map(({ id }) => id), [])
  await fleet.stop()
})

// Guards against a quarantine of a request that ran beside the crashing part at each of its exits, and shares no part with it.
test('long requests that run at all exits of a prompt part that crashes engines are not quarantined', async (t) => {
  for (const seed of SEEDS) {
    const fleet = await startPartFleet({ seed, timing: LONG_STREAMS })
    const long: PromptTraffic = { name: 'long', everyMs: 50, durationMs: 6000, partsOf: () => [], copies: Number.POSITIVE_INFINITY, path: '/reply/' }
    const { sound } = await play(fleet, { sound: long, crashing: [crashingTraffic({ everyMs: 800 })] })
    t.true(crashTimes(fleet).length >= 3, `seed ${seed}`)
    t.deepEqual(quarantinedPrompts(sound).map(({ id }) => id), [], `seed ${seed}`)
    await fleet.stop()
  }
})

test('a request with a prompt part that crashes engines is refused at once, as not run, with the reason', async (t) => {
  const fleet = await startPartFleet()
  const { crashing } = await play(fleet)
  const refused = quarantinedPrompts(crashing)
  t.true(refused.length >= 10, `${refused.length}`)
  t.deepEqual([...new Set(refused.map(({ caller }) => caller?.refused?.verdict))], [Verdict.NotRun])
  refused.forEach(({ caller }) => {
    t.true((caller?.refused?.retryAfterMs ?? 0) > 0)
    t.regex(caller?.refused?.message ?? '', /prompt part/)
    t.false(caller?.refused?.message?.includes(`«${CRASHING_PART}»`))
  })
  await fleet.stop()
})

/** Crashes decode engines one after the other, or some at once. */
async function crashEngines ({ clock, crash }: { clock: FakeFleet['clock'], crash: (name: string) => void }, { times, everyMs, together = 1 }: { times: number, everyMs: number, together?: number }): Promise<void> {
  for (let i = 0; i < times; i++) {
    Array.from({ length: together }, (_, at) => DECODE_ENGINES[(i * together + at) % DECODE_ENGINES.length]).forEach(crash)
    await clock.sleep(everyMs)
  }
}

test('no prompt part is quarantined when engines exit by themselves, one after the other or together', async (t) => {
  const cases = [
    { exits: { times: 12, everyMs: 700 }, sound: soundTraffic() },
    { exits: { times: 8, everyMs: 900 }, sound: soundTraffic({ everyMs: 450 }) },
    { exits: { times: 4, everyMs: 2500, together: 4 }, sound: soundTraffic() },
    { exits: { times: 12, everyMs: 700 }, sound: soundTraffic({ partsOf: () => ['aa'] }) },
  ]
  for (const { exits, sound } of cases) {
    for (const seed of SEEDS) {
      const fleet = await startPartFleet({ seed, crashingParts: [] })
      const crash = (name: string) => { void fleet.crash(name) }
      const exiting = fleet.clock.sleep(3000).then(() => crashEngines({ clock: fleet.clock, crash }, exits))
      const { sound: sent } = await play(fleet, { sound, crashing: [] })
      await exiting
      t.deepEqual(quarantinedPrompts(sent).map(({ id }) => id), [], `seed ${seed}, ${JSON.stringify(exits)}`)
      await fleet.stop()
    }
  }
})

test('no prompt part is quarantined when engines exit by themselves while the first streams have not ended yet', async (t) => {
  for (let seed = 1; seed <= 8; seed++) {
    const fleet = await startPartFleet({ seed, restartDelayMs: 1500, crashingParts: [] })
    const crashAny = async () => {
      for (let i = 0; i < 30; i++) {
        fleet.random.sample(DECODE_ENGINES, 1).forEach((name) => { void fleet.crash(name) })
        await fleet.clock.sleep(250)
      }
    }
    const crashing = fleet.clock.sleep(0).then(crashAny)
    const { sound } = await play(fleet, { sound: soundTraffic({ partsOf: (nth) => ['aa', `s${nth % 40}`] }), crashing: [], leadMs: 0 })
    await crashing
    t.deepEqual(quarantinedPrompts(sound).map(({ id }) => id), [], `seed ${seed}`)
    await fleet.stop()
  }
})

test('a prompt part that crashes engines is found whatever the length of streams, the delay of exits and the share of sound requests', async (t) => {
  const cases: { options: PartFleetOptions, crashing?: Partial<PromptTraffic>, sound?: PromptTraffic }[] = [
    { options: { timing: { events: 6 }, restartDelayMs: 300 }, crashing: { everyMs: 200 } },
    { options: { timing: { events: 38 }, restartDelayMs: 1500 }, crashing: { everyMs: 200 } },
    { options: { timing: { events: 6, crashDelayMs: 175 } }, crashing: { everyMs: 200 } },
    { options: { timing: { events: 6 } }, crashing: { everyMs: 200 }, sound: soundTraffic({ everyMs: 800 }) },
  ]
  for (const { options, crashing, sound } of cases) {
    const fleet = await startPartFleet(options)
    checkOutcome(t, fleet, await play(fleet, { sound, crashing: [crashingTraffic(crashing)] }))
    await fleet.stop()
  }
})

test('a prompt part that crashes engines is found if answers end with their connection, or callers leave', async (t) => {
  const cases: { options: PartFleetOptions, crashing?: Partial<PromptTraffic>, sound?: PromptTraffic }[] = [
    { options: { endsWithConnection: true, timing: { events: 6 } } },
    { options: { endsWithConnection: true }, crashing: { everyMs: 200 } },
    { options: { timing: { events: 6 } }, crashing: { leaveAfterMsOf: () => 6 } },
    { options: { endsWithConnection: true, timing: { events: 6 } }, crashing: { leaveAfterMsOf: (nth) => nth % 2 === 0 ? 6 : undefined }, sound: soundTraffic({ leaveAfterMsOf: (nth) => nth % 5 === 0 ? 50 : undefined }) },
  ]
  for (const { options, crashing, sound } of cases) {
    const fleet = await startPartFleet(options)
    checkOutcome(t, fleet, await play(fleet, { sound, crashing: [crashingTraffic(crashing)] }))
    await fleet.stop()
  }
})

test('after a quarantine one request in the whole fleet tries, at one engine', async (t) => {
  for (const path of ['/draft/', '/reply/']) {
    const fleet = await startPartFleet()
    await play(fleet, { crashing: [crashingTraffic({ path })] })
    const before = crashTimes(fleet).length
    await fleet.clock.advance(PART_QUARANTINE_MS - 30_000)
    const sending = sendPrompts(fleet, crashingTraffic({ path, everyMs: 100, durationMs: 60_000 }))
    await fleet.clock.advance(61_000)
    await sending
    t.is(crashTimes(fleet).length - before, 1, path)
    await fleet.stop()
  }
})

test('a prompt part that crashes engines is found by 88 boxes, with a zone cut off, boxes killed in series, or a rack lost', async (t) => {
  for (const disturb of [cutZone, killBoxes, loseRack]) {
    const fleet = await startPartFleet({ boxCount: 88 })
    const playing = play(fleet, { sound: soundTraffic({ everyMs: 60 }), crashing: [crashingTraffic()] })
    const disturbing = fleet.clock.sleep(2500).then(() => disturb(fleet))
    const sent = await playing
    await disturbing
    checkOutcome(t, fleet, sent)
    await fleet.stop()
  }
})
