import { Verdict } from '@reelspan/core.error'
import test from 'ava'
import { aborts, answers, createRelay, RecordingCaller, requestTo, type Script, streams } from './__utils__/createRelay.js'

const FIRST = 'id: 0\ndata: a\n\n'
const REST = 'id: 1\ndata: b\n\n'

/** The same answer without the signature of its upstream. */
function unsigned (script: Script): Script {
  return async (opts) => ({ ...await script(opts), unsigned: true })
}

async function relayTo (path: string, scripts: Script[]) {
  const created = createRelay(scripts)
  const caller = new RecordingCaller()
  await created.clock.run(created.relay.relay(requestTo(path), caller))
  return { ...created, caller }
}

// Guards against a success that its caller cannot count, since a faulty upstream spoiled its signature.
for (const path of ['/fetch/1', '/draft/1']) {
  test(`a success without a signature is no answer to a request that may run once: ${path}`, async (t) => {
    const { caller, upstreams, metrics } = await relayTo(path, [unsigned(streams(FIRST)), streams(FIRST)])
    t.is(caller.status, undefined)
    t.is(caller.refused?.verdict, Verdict.MayHaveRun)
    t.is(upstreams.runs.length, 1)
    t.is(upstreams.inProgress, 0)
    t.true(metrics.exposition().includes('reelspan_unsigned_answers_total 1'))
  })
}

for (const [path, script] of [['/status/1', answers(200, 'done')], ['/reply/1', streams(FIRST)]] as const) {
  test(`a request that may run again is sent to another upstream when a success has no signature: ${path}`, async (t) => {
    const { caller, upstreams } = await relayTo(path, [unsigned(script), script])
    t.is(caller.status, 200)
    t.true(caller.complete)
    t.is(new Set(upstreams.runs.map(({ instance }) => instance)).size, 2)
  })
}

test('a failure without a signature is passed on', async (t) => {
  const { caller } = await relayTo('/fetch/1', [unsigned(answers(404, 'none'))])
  t.is(caller.status, 404)
  t.is(caller.body, 'none')
})

test('a stream goes on with an answer that has no signature, since it keeps its first head', async (t) => {
  const { caller } = await relayTo('/reply/1', [aborts(200, [FIRST]), unsigned(streams(REST))])
  t.is(caller.body, FIRST + REST)
  t.true(caller.complete)
})
