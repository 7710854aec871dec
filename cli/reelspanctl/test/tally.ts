import { execFile } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import test from 'ava'

const BIN = join(import.meta.dirname, '..', 'bin', 'reelspanctl.js')
const LOG = join(import.meta.dirname, '..', 'test', '__fixtures__', 'tally', 'boxes.log')

interface Row { outcome: string, cause?: string, requests: number }

function run (args: string[], input = ''): Promise<{ code: number, out: string, err: string }> {
  return new Promise((resolve) => {
    const child = execFile(process.execPath, [BIN, 'tally', ...args], (error, out, err) => resolve({ code: error ? Number(error.code) : 0, out, err }))
    child.stdin?.end(input)
  })
}

async function tallied () {
  return JSON.parse((await run([LOG, '--json'])).out)
}

function rowsOf (groups: { name: string, rows: Row[] }[], name: string): Row[] {
  return groups.find((group) => group.name === name)?.rows ?? []
}

function counts (rows: readonly Row[]): [string, number][] {
  return rows.map(({ outcome, cause, requests }) => [cause === undefined ? outcome : `${outcome}: ${cause}`, requests])
}

test('requests of a route are counted by outcome, refusals by reason without its numbers, failures by code', async (t) => {
  const { routes } = await tallied()
  t.deepEqual(counts(rowsOf(routes, 'drafts')), [
    ['servedInTime', 2],
    ['servedLate', 2],
    ['refused: # requests wait before it, and a place becomes free every # ms', 2],
    ['refused: no engine has room', 1],
    ['failed: ERR_REELSPAN_UPSTREAM_FAILED', 1],
    ['left', 1],
  ])
})

test('a response with a server error status counts as failed, and pauses are compared with the target for streams only', async (t) => {
  const { routes } = await tallied()
  t.deepEqual(counts(rowsOf(routes, 'status')), [['servedInTime', 1], ['failed: status 500', 1]])
})

test('requests without a route or without a target are counted separately', async (t) => {
  const { routes } = await tallied()
  t.deepEqual(counts(rowsOf(routes, 'letters')), [['served', 1]])
  t.deepEqual(counts(rowsOf(routes, 'no route')), [['refused: there is no route for desk/x', 1]])
})

test('requests are counted by kind over all routes, kinds with the most requests not served in time first', async (t) => {
  const { kinds } = await tallied()
  t.deepEqual(kinds.map(({ name, requests }: { name: string, requests: number }) => [name, requests]), [['resumableStream', 9], ['not known', 2], ['repeatableCall', 2]])
})

test('requests not served in time are listed with their latencies, and how many reached each stage and when', async (t) => {
  const { routes } = await tallied()
  const [inTime, late, refused, turnedAway, failed, left] = rowsOf(routes, 'drafts')
  t.false('heldMs' in inTime)
  t.like(late, { heldMs: { median: 1055, mean: 628, p99: 1055 }, placed: { requests: 2, medianMs: 744 }, sent: { requests: 2, medianMs: 1044 }, firstPart: { requests: 2, medianMs: 1055 } })
  t.like(refused, { heldMs: { median: 54, mean: 50, p99: 54 }, placed: { requests: 0 }, sent: { requests: 0 }, retries: 0 })
  t.like(turnedAway, { heldMs: { median: 800 }, placed: { requests: 1, medianMs: 300 }, sent: { requests: 0 }, retries: 1 })
  t.like(failed, { heldMs: { median: 506 }, sent: { requests: 1, medianMs: 400 }, firstPart: { requests: 0 } })
  t.like(left, { heldMs: { median: 3600 }, placed: { requests: 0 } })
})

test('refused requests are matched to their caller\'s retries by the hash of their prompt', async (t) => {
  const { returns } = await tallied()
  t.deepEqual(returns, { refused: 3, cameBack: 2, ends: [{ outcome: 'servedInTime', requests: 1 }, { outcome: 'refused', requests: 1 }] })
  const { out } = await run([LOG])
  t.regex(out, /^3 prompts were refused at least once; 2 of them were retried\n {2}1 served in time\n {2}1 refused again$/m)
})

test('the tally reports how much of the log is missing', async (t) => {
  const { missing } = await tallied()
  t.deepEqual(missing, { droppedLines: 12, unreadableLines: 1, withoutEnd: 1, withoutTrail: 4 })
  const { out } = await run([LOG])
  t.regex(out, /12 lines were dropped under load/)
  t.regex(out, /1 lines could not be read/)
  t.regex(out, /1 requests have no end/)
  t.regex(out, /4 requests have an incomplete trace/)
})

test('the log is read from standard input too, and the table has a row for each outcome', async (t) => {
  const { code, out } = await run([], readFileSync(LOG, 'utf8'))
  t.is(code, 0)
  t.regex(out, /^route drafts \(resumableStream\): 9 requests$/m)
  t.regex(out, /^ +1 +11\.1% +3600 +3600 +3600 +- +- +- +0\.0 {2}left$/m)
})

test('a log without the outcome of any request gives exit code 3', async (t) => {
  const { code, err } = await run([], '{"event":"started"}\n')
  t.is(code, 3)
  t.regex(err, /none of 1 lines/)
})
