import { FleetList, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { EngineWitnesses } from '@reelspan/request.stream-origins'
import { type EngineTraces, UpstreamError } from '@reelspan/upstream.client'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const MODEL = 'm'
const OWN_PART = { digest: 'own', tokens: 300 }
const SOUGHT = { attempt: 'a1', model: MODEL, ownPart: OWN_PART }
const NOTHING: EngineTraces = { runs: [], cachedParts: [] }
const RAN: EngineTraces = { runs: [], cachedParts: [{ digest: 'own', tokens: 310 }] }
const RUNS: EngineTraces = { runs: [{ requestId: 'a1', events: 3 }], cachedParts: [] }

function engineOf (name: string, softwareVersion: string, pool = 'd'): ListedUpstream {
  return { name, kind: UpstreamKind.Engine, address: `${name}:1`, availabilityZone: 'a', pool, leaving: false, softwareVersion }
}

/**
 * Engines d1 and d2 of v1, d3 of v2, and p1 of v2, which is of the model's other pool.
 * @param missed how many readings of each engine end by their time-outs first
 */
function createWitnesses (answers: Record<string, EngineTraces | UpstreamError | undefined>, missed = 0) {
  const clock = new VirtualClock()
  const asked: string[] = []
  const fleet = new FleetList([], [engineOf('d1', 'v1'), engineOf('d2', 'v1'), engineOf('d3', 'v2'), engineOf('p1', 'v2', 'p'), engineOf('x1', 'v3', 'x')])
  const witnesses = new EngineWitnesses({
    clock,
    fleet: () => fleet,
    poolsOfModels: () => new Map([[MODEL, ['p', 'd']]]),
    readTraces: async ({ name }) => {
      asked.push(name)
      if (asked.filter((one) => one === name).length <= missed) throw new UpstreamError('no answer', { mayHaveRun: true, unreachable: true })
      const answer = name in answers ? answers[name] : NOTHING
      if (answer instanceof UpstreamError) throw answer
      return answer
    },
  })
  return { clock, witnesses, asked }
}

test('an engine that runs the attempt, or has cached what it generated, tells the version', async (t) => {
  for (const traces of [RAN, RUNS]) {
    const { witnesses, asked } = createWitnesses({ d2: traces })
    t.like(await witnesses.find(SOUGHT), { versions: ['v1'], isContested: false, witnesses: ['d2'], asked: 4 })
    t.deepEqual(asked, ['d1', 'd2', 'd3', 'p1'])
  }
})

test('an engine that has only computed the prompt, or has not begun to write, tells nothing', async (t) => {
  const { witnesses } = createWitnesses({ d1: { runs: [{ requestId: 'a1', events: 0 }], cachedParts: [OWN_PART] }, d2: { runs: [{ requestId: 'a2', events: 4 }], cachedParts: [{ digest: 'shared', tokens: 900 }] } })
  t.deepEqual((await witnesses.find(SOUGHT)).versions, [])
})

test('engines of two versions that ran it are both named', async (t) => {
  const { witnesses } = createWitnesses({ d1: RAN, d3: RUNS })
  t.deepEqual((await witnesses.find(SOUGHT)).versions, ['v1', 'v2'])
})

test('an engine of another version that does not answer may have run it, one that accepts no connection is gone', async (t) => {
  const silent = new UpstreamError('no answer', { mayHaveRun: true, unreachable: true })
  const gone = new UpstreamError('cannot be reached', { mayHaveRun: false, unreachable: true })
  for (const [answers, isContested] of [[{ d3: silent }, true], [{ d3: undefined }, true], [{ d3: gone }, false], [{ d1: silent }, false]] as const) {
    t.is((await createWitnesses({ ...answers, d2: RAN }).witnesses.find(SOUGHT)).isContested, isContested)
  }
})

// Guards against refusing streams whose engines would tell, since the box itself was held up while it asked them.
test('an engine that misses one reading is asked again', async (t) => {
  t.like(await createWitnesses({ d2: RAN }, 1).witnesses.find(SOUGHT), { versions: ['v1'], isContested: false, unanswered: [], isIncomplete: false })
  t.like(await createWitnesses({ d2: RAN }, 2).witnesses.find(SOUGHT), { versions: [], unanswered: ['d1', 'd2', 'd3', 'p1'], isIncomplete: true })
})

test('an engine that accepts no connection is not asked again', async (t) => {
  const { witnesses, asked } = createWitnesses({ d1: new UpstreamError('cannot be reached', { mayHaveRun: false, unreachable: true }) })
  t.like(await witnesses.find(SOUGHT), { unanswered: ['d1'], isIncomplete: false })
  t.is(asked.length, 4)
})

test('streams that are taken up together share a reading', async (t) => {
  const { clock, witnesses, asked } = createWitnesses({})
  await Promise.all([witnesses.find(SOUGHT), witnesses.find({ ...SOUGHT, attempt: 'a2' })])
  t.is(asked.length, 4)
  await clock.advance(1000)
  await witnesses.find(SOUGHT)
  t.is(asked.length, 8)
})
