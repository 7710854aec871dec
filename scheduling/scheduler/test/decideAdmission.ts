import { type AdmissionInputs, AdmissionOutcome, decideAdmission } from '@reelspan/scheduling.scheduler'
import test from 'ava'
import fc from 'fast-check'

/** An empty queue and free engines. */
const EMPTY: AdmissionInputs = { minTtftMs: 200, aheadInTime: 0, aheadLate: 0, aheadDue: 0, msPerPlace: 0, msPerArrival: undefined, rateError: 0.2, handoverMs: 100, inTimeLeftMs: 900, usefulLeftMs: 2700, returned: false, promised: false, kept: false }
/** A slot becomes free every 100 ms, and new requests arrive at a quarter of that rate. */
const BUSY: AdmissionInputs = { ...EMPTY, msPerPlace: 100, msPerArrival: 400 }

function outcomeOf (over: Partial<AdmissionInputs>): AdmissionOutcome {
  return decideAdmission({ ...BUSY, ...over }).outcome
}

test('a request that can be in time is kept', (t) => {
  t.is(decideAdmission(EMPTY).outcome, AdmissionOutcome.InTime)
  t.is(outcomeOf({ aheadInTime: 7, aheadLate: 50 }), AdmissionOutcome.InTime)
})

test('a request that can only be late is kept while a slot is expected for it', (t) => {
  t.is(outcomeOf({ aheadInTime: 8 }), AdmissionOutcome.Late)
  t.is(outcomeOf({ aheadInTime: 8, aheadLate: 10 }), AdmissionOutcome.Refused)
})

test('outstanding retries with a promised slot count as ahead of a request', (t) => {
  t.is(outcomeOf({ aheadInTime: 4, aheadDue: 3 }), AdmissionOutcome.InTime)
  t.is(outcomeOf({ aheadInTime: 4, aheadDue: 4 }), AdmissionOutcome.Late)
})

test('a late request is refused if new requests take every slot', (t) => {
  t.is(outcomeOf({ aheadInTime: 8, msPerArrival: 100 }), AdmissionOutcome.Refused)
})

test('the error of the estimate counts against a new request, and in favour of one that has waited or is a retry', (t) => {
  const close = { aheadInTime: 8, aheadLate: 5 }
  t.is(outcomeOf(close), AdmissionOutcome.Refused)
  t.is(outcomeOf({ ...close, kept: true }), AdmissionOutcome.Late)
  t.is(outcomeOf({ ...close, returned: true }), AdmissionOutcome.Late)
})

test('a promised slot is kept as long as the answer is useful', (t) => {
  t.is(outcomeOf({ promised: true, aheadInTime: 30 }), AdmissionOutcome.Late)
  t.is(outcomeOf({ promised: true, minTtftMs: 2800 }), AdmissionOutcome.Refused)
})

test('a request is refused if no engine takes work', (t) => {
  t.like(decideAdmission({ ...EMPTY, minTtftMs: undefined }), { outcome: AdmissionOutcome.Refused, reason: 'no engine of the model takes work' })
})

test('the reason of a refusal contains its inputs', (t) => {
  t.is(decideAdmission({ ...BUSY, aheadInTime: 8, msPerArrival: 91 }).reason, '8 requests are queued ahead, a slot becomes free every 100 ms, and a request arrives every 91 ms')
})

const ORDER = [AdmissionOutcome.InTime, AdmissionOutcome.Late, AdmissionOutcome.Refused]

test('more requests ahead, slower slots or less time never improve a decision', (t) => {
  const inputs = fc.record({
    minTtftMs: fc.integer({ min: 1, max: 4000 }),
    aheadInTime: fc.nat(60),
    aheadLate: fc.nat(60),
    aheadDue: fc.nat(20),
    msPerPlace: fc.integer({ min: 1, max: 500 }),
    msPerArrival: fc.option(fc.integer({ min: 1, max: 500 }), { nil: undefined }),
    rateError: fc.double({ min: 0, max: 1, noNaN: true }),
    handoverMs: fc.nat(300),
    inTimeLeftMs: fc.integer({ min: -500, max: 900 }),
    usefulLeftMs: fc.integer({ min: 900, max: 3000 }),
    returned: fc.boolean(),
    promised: fc.boolean(),
    kept: fc.constant(false),
  })
  const worse = fc.record({ aheadInTime: fc.nat(10), aheadLate: fc.nat(10), msPerPlace: fc.nat(100), inTimeLeftMs: fc.nat(500).map((ms) => -ms), usefulLeftMs: fc.nat(500).map((ms) => -ms) })
  fc.assert(fc.property(inputs, worse, (one, by) => {
    const after = { ...one, ...Object.fromEntries(Object.entries(by).map(([key, change]) => [key, one[key as keyof typeof by] + change])) }
    return ORDER.indexOf(decideAdmission(after).outcome) >= ORDER.indexOf(decideAdmission(one).outcome)
  }), { seed: 17, numRuns: 2000 })
  t.pass()
})
