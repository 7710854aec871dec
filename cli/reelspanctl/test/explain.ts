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

test('explain prints the trace of a request, the state known to its boxes, and suspicions of its upstreams', async (t) => {
  const { code, out, err } = await run('explain', 'r-failed', LOG)
  t.is(code, 0)
  t.regex(err, /1 lines could not be read/)
  t.deepEqual(out.trim().split('\n').map((line) => line.replace(/ {2,}/g, ' ').trim()), [
    'request r-failed, run by box-1',
    '2026-05-13T17:32:04.000Z box-1 requestSent upstream=i-1 status=500',
    '2026-05-13T17:32:04.001Z box-1 requestRetried reason="i-1 answered 500" mayHaveRun=true',
    '2026-05-13T17:32:04.100Z box-1 requestEnded verdict=mayHaveRun code=ERR_REELSPAN_UPSTREAM_FAILED reason="10.0.0.9:1 closed the connection" fleetRevision=8',
    'state known to its boxes at the time',
    '2026-05-13T17:32:01.000Z box-1 revisionAdopted collection=fleet revision=8',
    '2026-05-13T17:32:03.000Z box-1 dependencyRegained dependency=platform',
    'suspicions of its upstreams',
    '2026-05-13T17:32:03.500Z box-1 upstreamSuspected upstream=i-1 forMs=1000',
    '2026-05-13T17:32:03.900Z box-2 upstreamSuspected upstream=i-1 forMs=2000',
    '12 lines were dropped under load: parts of the trace may be missing',
    'likely cause: an upstream failed, as in 1 earlier attempts: 2 boxes suspected it, so the fault is at the upstream',
  ])
})

test('a refusal is explained by its code, and a late answer by its latency in each stage', async (t) => {
  t.regex((await run('explain', 'r-refused', LOG)).out, /likely cause: not enough engine capacity/)
  t.regex((await run('explain', 'r-late', LOG)).out, /likely cause: it was served \(first part after 1055 ms, longest pause 67 ms, waited 744 ms for a slot, prefill 301 ms, 0 retries\)/)
})

test('a refusal because of upstreams\' rate limits names the upstreams', async (t) => {
  const { out } = await run('explain', 'r-limited', LOG)
  t.regex(out, /upstreamsAtLimit {2}upstreams=\["i-5","i-6"\] retryAfterMs=412/)
  t.regex(out, /likely cause: every remaining upstream advertises a rate limit/)
})

test('a refusal because of upstreams\' backoff names the upstreams', async (t) => {
  const { out } = await run('explain', 'r-waiting', LOG)
  t.regex(out, /upstreamsBackingOff {2}upstreams=\["i-5"\] retryAfterMs=1840/)
  t.regex(out, /likely cause: every remaining upstream had refused a request of this box and asked it to back off/)
})

test('a request that another box ran is explained over both boxes, up to the loss of paths', async (t) => {
  const { out } = await run('explain', 'r-delegated', LOG)
  t.regex(out, /box-4 {2}requestDelegated {2}delegate=box-5/)
  t.regex(out, /box-5 {2}requestEnded {2}delegatedBy=box-4/)
  t.regex(out, /state known to its boxes at the time\n.*box-4 {2}upstreamPathsLost/)
  t.regex(out, /likely cause: box-4 had lost its paths to the upstreams .* had it run by box-5; there: not enough engine capacity/)
})

test('explain reports that the end of a request is missing', async (t) => {
  const { out } = await run('explain', 'r-open', LOG)
  t.regex(out, /the end is missing/)
})

test('a request without log lines gives exit code 3, and --json prints JSON', async (t) => {
  const { code, err } = await run('explain', 'r-unknown', LOG)
  t.is(code, 3)
  t.regex(err, /none of \d+ lines names the request r-unknown/)
  t.is((await run('explain')).code, 2)
  const { out } = await run('explain', 'r-failed', LOG, '--json')
  t.is(JSON.parse(out).trail.length, 3)
})

test('a stream that is taken up is explained from the attempt that began it on, with its version and who knew it', async (t) => {
  const { out } = await run('explain', 'r-taken-up', LOG)
  t.regex(out, /streamTakenUp {2}resumesAttempt=r-began resumeAfter=4 version=v1 source=peers knownBy=\["box-1"\]/)
  t.regex(out, /the attempt that began its stream, r-began\n.*requestPlaced {2}attempt=1 decodeEngine=i-8 softwareVersion=v1/)
  t.regex(out, /likely cause: the software version that began its stream has no engine left/)
})

function silencesIn (out: string): string[] {
  const [, ...lines] = out.slice(out.indexOf('silent exchanges and failed attempts')).split('\n')
  return lines.filter((line) => line.startsWith('  ')).map((line) => line.trim())
}

test('explain says why a silent exchange was given up, what went on instead, and how long both were open', async (t) => {
  const { out } = await run('explain', 'r-moved', LOG)
  t.deepEqual(silencesIn(out), [
    'the prefill at p-2, silent for 455 ms, was given up since it was silent too while i-11 stayed open; both were open for 460 ms',
    'the attempt at i-12 failed (i-12 responded with 500); i-11 stayed open',
    'the decode at i-11, silent for 1540 ms, was given up since i-13 went on; both were open for 240 ms',
  ])
  t.regex(out, /likely cause: it was served/)
})

test('explain says why nothing was tried after a silent exchange had failed', async (t) => {
  const { out } = await run('explain', 'r-cut', LOG)
  t.deepEqual(silencesIn(out), [
    'the decode at i-14 was silent and stayed open',
    'the last attempt failed (i-14 closed the connection), and no other one was made: no retry was left in the budget of its box',
  ])
  t.regex(out, /likely cause: an upstream failed.*; no other attempt was made, since no retry was left in the budget of its box/)
})

test('explain names the upstream that was silent until the deadline', async (t) => {
  t.regex((await run('explain', 'r-silent', LOG)).out, /likely cause: i-15 was silent until the deadline/)
})
