import { PlaceForecast, StreamDurations } from '@reelspan/scheduling.scheduler'
import test from 'ava'
import fc from 'fast-check'

const ROOMY = { msPerPrompt: 0, fill: 0.1 }

/** Streams last for one of some times, each as often. */
function lasting (...durationsMs: number[]): StreamDurations {
  const durations = new StreamDurations()
  for (let i = 0; i < 30; i++) durationsMs.forEach((ms) => durations.learn(ms))
  return durations
}

test('places that are free now are there at once', (t) => {
  const forecast = new PlaceForecast({ ...ROOMY, durations: lasting(2000), engines: [{ free: 0.25, streams: [] }, { free: 0.1, streams: [] }] })
  t.deepEqual([1, 2, 3].map((places) => forecast.timeOf(places)), [0, 0, 0])
})

test('a place on a full engine comes free when its stream ends', (t) => {
  const streams = [{ fill: 0.1, ageMs: 1500 }, { fill: 0.1, ageMs: 800 }]
  const forecast = new PlaceForecast({ ...ROOMY, durations: lasting(2000), engines: [{ free: 0, streams }] })
  t.deepEqual([1, 2].map((places) => forecast.timeOf(places)), [500, 1200])
})

test('of many streams that may end at any time, the first end soon', (t) => {
  const durations = lasting(...Array.from({ length: 40 }, (_, i) => 100 * (i + 1)))
  const streams = Array.from({ length: 20 }, () => ({ fill: 0.05, ageMs: 0 }))
  const forecast = new PlaceForecast({ msPerPrompt: 0, fill: 0.05, durations, engines: [{ free: 0, streams }] })
  t.true(forecast.timeOf(1) <= 200, `${forecast.timeOf(1)} ms; each alone lasts 2,050 ms on average`)
  t.true(forecast.timeOf(10) >= 1500)
})

test('an engine with more on it than fits has no place until that is gone', (t) => {
  const streams = [{ fill: 0.1, ageMs: 1900 }, { fill: 0.1, ageMs: 1800 }]
  t.is(new PlaceForecast({ ...ROOMY, durations: lasting(2000), engines: [{ free: -0.1, streams }] }).timeOf(1), 200)
})

test('a stream that has not begun ends that much later', (t) => {
  t.is(new PlaceForecast({ ...ROOMY, durations: lasting(1000), engines: [{ free: 0, streams: [{ fill: 0.1, ageMs: -300 }] }] }).timeOf(1), 1300)
})

test('prompts are computed no faster than the engines can', (t) => {
  const forecast = new PlaceForecast({ fill: 0.1, msPerPrompt: 50, durations: lasting(2000), engines: [{ free: 1, streams: [] }] })
  t.is(forecast.timeOf(4), 200)
})

test('no place is in sight on engines on which nothing ends', (t) => {
  t.is(new PlaceForecast({ ...ROOMY, durations: lasting(2000), engines: [{ free: 0, streams: [] }] }).timeOf(1), Number.POSITIVE_INFINITY)
})

test('more places never come sooner', (t) => {
  const engines = fc.array(fc.record({
    free: fc.double({ min: -0.5, max: 1, noNaN: true }),
    streams: fc.array(fc.record({ fill: fc.double({ min: 0.01, max: 0.5, noNaN: true }), ageMs: fc.integer({ min: -500, max: 10_000 }) }), { maxLength: 20 }),
  }), { maxLength: 6 })
  const durations = lasting(500, 1500, 4000)
  fc.assert(fc.property(engines, fc.double({ min: 0.02, max: 0.5, noNaN: true }), fc.nat(200), (rooms, fill, msPerPrompt) => {
    const forecast = new PlaceForecast({ engines: rooms, fill, msPerPrompt, durations })
    const times = Array.from({ length: 40 }, (_, i) => forecast.timeOf(i + 1))
    return times.every((time, i) => time >= 0 && (i === 0 || time >= times[i - 1]))
  }), { seed: 31, numRuns: 300 })
  t.pass()
})

test('streams end as those did that got as old', (t) => {
  const durations = lasting(1000, 3000)
  t.true(durations.known)
  t.is(durations.endedShare(0, 1000), 0.5)
  t.is(durations.endedShare(1500, 1000), 0)
  t.is(durations.endedShare(1500, 1500), 1)
  t.true(durations.endedShare(9000, 100) < 1, 'one that is overdue may still run')
})

test('what lasted long ago is forgotten, and few answers tell nothing', (t) => {
  const durations = new StreamDurations()
  for (let i = 0; i < 29; i++) durations.learn(8000)
  t.false(durations.known)
  for (let i = 0; i < 100; i++) durations.learn(2000)
  t.is(durations.endedShare(0, 2000), 1)
})
