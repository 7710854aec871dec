import { execFile } from 'node:child_process'
import { join } from 'node:path'
import test from 'ava'

const BIN = join(import.meta.dirname, '..', 'bin', 'reelspanctl.js')
const LOG = join(import.meta.dirname, '..', 'test', '__fixtures__', 'explain', 'boxes.log')

function run (...args: string[]): Promise<{ code: number, out: string, err: string }> {
  return new Promise((resolve) => execFile(process.execPath, [BIN, ...args], (error, out, err) => {
    resolve({ code: error ? Number(error.code) : 0, out, err })
  }))
}

test('a request is explained by its trail, what its box believed, and its upstreams', async (t) => {
  const { code, out, err } = await run('explain', 'r-failed', LOG)
  t.is(code, 0)
  t.regex(err, /1 lines could not be read/)
  t.deepEqual(out.trim().split('\n').map((line) => line.replace(/ {2,}/g, ' ').trim()), [
    'request r-failed, run by box-1',
    '2026-05-13T17:32:04.000Z box-1 requestSent upstream=i-1 status=500',
    '2026-05-13T17:32:04.001Z box-1 requestRetried reason="i-1 answered 500" mayHaveRun=true',
    '2026-05-13T17:32:04.100Z box-1 requestEnded verdict=mayHaveRun code=ERR_REELSPAN_UPSTREAM_FAILED reason="10.0.0.9:1 closed the connection" fleetRevision=8',
    'what was believed then',
    '2026-05-13T17:32:01.000Z box-1 revisionAdopted collection=fleet revision=8',
    '2026-05-13T17:32:03.000Z box-1 dependencyRegained dependency=platform',
    'its upstreams, as boxes saw them',
    '2026-05-13T17:32:03.500Z box-1 upstreamSuspected upstream=i-1 forMs=1000',
    '2026-05-13T17:32:03.900Z box-2 upstreamSuspected upstream=i-1 forMs=2000',
    '12 lines were dropped under load: parts of the trail may be missing',
    'likely cause: an upstream failed it, and so did 1 before: 2 boxes suspected it, so the fault is at the upstream',
  ])
})

test('a refusal is explained by its code, and a late answer by where its time went', async (t) => {
  t.regex((await run('explain', 'r-refused', LOG)).out, /likely cause: engines were short/)
  t.regex((await run('explain', 'r-late', LOG)).out, /likely cause: it was served \(first part after 1055 ms, longest pause 67 ms, waited 744 ms for a place, prefill 301 ms, 0 more tries\)/)
})

test('a refusal for upstreams\' limits names these', async (t) => {
  const { out } = await run('explain', 'r-limited', LOG)
  t.regex(out, /upstreamsAtLimit {2}upstreams=\["i-5","i-6"\] retryAfterMs=412/)
  t.regex(out, /likely cause: each upstream that was left for it names a limit/)
})

test('a refusal for upstreams that ask for a wait names these', async (t) => {
  const { out } = await run('explain', 'r-waiting', LOG)
  t.regex(out, /upstreamsBackingOff {2}upstreams=\["i-5"\] retryAfterMs=1840/)
  t.regex(out, /likely cause: each upstream that was left for it had refused a request of this box and asked it to wait/)
})

test('a request without an end is said to have none', async (t) => {
  const { out } = await run('explain', 'r-open', LOG)
  t.regex(out, /the end is missing/)
})

test('a request that no line names has an exit code of its own, and a script gets JSON', async (t) => {
  const { code, err } = await run('explain', 'r-unknown', LOG)
  t.is(code, 3)
  t.regex(err, /none of \d+ lines names the request r-unknown/)
  t.is((await run('explain')).code, 2)
  const { out } = await run('explain', 'r-failed', LOG, '--json')
  t.is(JSON.parse(out).trail.length, 3)
})
