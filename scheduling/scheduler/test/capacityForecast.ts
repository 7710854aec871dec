import { CapacityForecast, type CapacityInputs, expectedEndMs } from '@reelspan/scheduling.scheduler'
import test from 'ava'
import fc from 'fast-check'

const IDLE_PREFILL = { freeInMs: 0, costMs: 1 }
const INPUTS: CapacityInputs = { kvBytes: 10, holdMs: 1000, decode: [], prefill: [IDLE_PREFILL] }

/** An engine of three slots and memory for five requests of the usual size. */
function engine (endsInMs: readonly number[], { kvBytes = 10, slots = 3 } = {}) {
  return { free: { slots: slots - endsInMs.length, kvBytes: 50 - kvBytes * endsInMs.length }, held: endsInMs.map((ms) => ({ kvBytes, endsInMs: ms })) }
}

function slotsMs (inputs: Partial<CapacityInputs>, count: number): number[] {
  const forecast = new CapacityForecast({ ...INPUTS, ...inputs })
  return Array.from({ length: count }, (_, i) => Math.round(forecast.slotMs(i + 1)))
}

test('slots become free as reservations end, and again after the usual time', (t) => {
  t.deepEqual(slotsMs({ decode: [engine([300, 100, 200]), engine([150, 50])] }, 8), [0, 50, 100, 150, 200, 300, 1000, 1050])
})

test('a slot without enough memory is not free: a large request waits for several ends', (t) => {
  t.deepEqual(slotsMs({ kvBytes: 30, decode: [engine([100, 200], { kvBytes: 20 })] }, 2), [100, 1100])
  t.deepEqual(slotsMs({ kvBytes: 60, decode: [engine([100])] }, 1), [Number.POSITIVE_INFINITY])
})

test('requests ahead that are larger take more slots of the size of the request', (t) => {
  t.deepEqual(slotsMs({ aheadFactor: 2, decode: [engine([100, 200, 300])] }, 2), [100, 300])
})

test('prompts wait for prefill engines, of which faster ones start more of them', (t) => {
  const prefill = [{ freeInMs: 0, costMs: 100 }, { freeInMs: 150, costMs: 50 }]
  t.deepEqual(slotsMs({ prefill, decode: [engine([], { slots: 5 }), engine([], { slots: 5 })] }, 4), [0, 100, 150, 167])
  t.deepEqual(slotsMs({ prefill: [], decode: [engine([])] }, 1), [Number.POSITIVE_INFINITY])
})

test('late requests get the slots that new requests leave, and none if these arrive as fast as slots become free', (t) => {
  const decode = [engine(Array.from({ length: 10 }, (_, i) => 100 * (i + 1)), { kvBytes: 5, slots: 10 })]
  const lateMs = (msPerArrival?: number) => Math.round(new CapacityForecast({ ...INPUTS, kvBytes: 5, decode, msPerArrival }).lateSlotMs(2))
  t.is(lateMs(), 200)
  t.is(lateMs(400), 200)
  t.is(lateMs(150), 400)
  t.is(lateMs(100), Number.POSITIVE_INFINITY)
})

test('a stream that runs longer than usual is expected to end after the usual time again, not now', (t) => {
  const stream = { startAtMs: 1000, usualMs: 500, latestEndMs: 10_000 }
  t.deepEqual([900, 1400, 1500, 1900, 2100].map((nowMs) => expectedEndMs(stream, nowMs)), [1500, 1500, 2000, 2000, 2500])
  t.is(expectedEndMs({ ...stream, latestEndMs: 1700 }, 1600), 1700)
})

test('more held capacity, larger requests or more requests ahead never make a slot free earlier', (t) => {
  const endsMs = fc.array(fc.integer({ min: 1, max: 3000 }), { maxLength: 3 })
  fc.assert(fc.property(fc.array(endsMs, { minLength: 1, maxLength: 6 }), fc.integer({ min: 1, max: 30 }), fc.integer({ min: 1, max: 50 }), (engines, n, kvBytes) => {
    const at = (held: readonly number[][], count: number, size: number) => new CapacityForecast({ ...INPUTS, holdMs: 3000, kvBytes: size, decode: held.map((one) => engine(one)) }).slotMs(count)
    const slotMs = at(engines, n, kvBytes)
    const fuller = engines.map((one, i) => i === 0 && one.length > 0 ? [one[0] + 500, ...one.slice(1)] : one)
    return at(engines, n + 1, kvBytes) >= slotMs && at(fuller, n, kvBytes) >= slotMs && at(engines, n, Math.min(50, kvBytes + 5)) >= slotMs
  }), { seed: 5, numRuns: 1000 })
  t.pass()
})

test('the cost of a query does not grow with the engines: 2,900 engines and 20,000 queries', (t) => {
  const decode = Array.from({ length: 2900 }, (_, i) => engine([i, 2 * i, 3 * i]))
  const prefill = Array.from({ length: 2900 }, (_, i) => ({ freeInMs: i, costMs: 90 }))
  const startedAtMs = performance.now()
  const forecast = new CapacityForecast({ ...INPUTS, decode, prefill, msPerArrival: 2 })
  for (let n = 1; n <= 20_000; n++) forecast.lateSlotMs(n)
  // About 50 ms. A pass over the engines for each query would take more than 10 s.
  t.true(performance.now() - startedAtMs < 3000)
})
