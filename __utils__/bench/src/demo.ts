import { SeededRandom } from '@reelspan/utils.fakes'
import { request } from 'undici'
import { generateLoad, readShape } from './loadShape.js'
import { ProcessFleet } from './processFleet.js'
import { readEngineStats } from './readEngineStats.js'
import { runLoad } from './runLoad.js'
import { summarize } from './summarize.js'

const SHAPE = readShape('tuul')
const TARGETS = { ttftMs: SHAPE.ttftTargetMs, tbtMs: SHAPE.tbtTargetMs }
const REQUESTS_PER_SECOND = 15
const DURATION_MS = 8000
const BOOKINGS = 20

/** Starts the sample deployment "Tuul", sends requests through it, prints a summary and stops the deployment. */
export async function demo (): Promise<void> {
  console.log('Starting platform, 3 prefill and 5 decode engines, 3 services and 8 boxes …')
  const fleet = await ProcessFleet.start()
  try {
    const addresses = fleet.boxes.map(({ callerAddress }) => callerAddress)
    const requests = generateLoad(new SeededRandom(1), SHAPE, { requestsPerSecond: REQUESTS_PER_SECOND, durationMs: DURATION_MS, name: 'demo' })
    console.log(`Sending ${requests.length} completions in ${DURATION_MS / 1000} s and ${BOOKINGS} bookings that may not be repeated …`)
    const [outcomes, bookings] = await Promise.all([
      runLoad(requests, { addresses, model: SHAPE.model }),
      Promise.all(Array.from({ length: BOOKINGS }, (_, i) => book(addresses, i))),
    ])
    const engines = await readEngineStats(fleet)
    const summary = summarize(outcomes, TARGETS)
    const rows: [string, string][] = [
      ['sent', String(summary.sent)],
      ['finished', String(summary.finished)],
      ['refused (not run)', String(summary.refused)],
      ['may have run', String(summary.mayHaveRun)],
      ['wrong or incomplete answers', String(summary.wrong)],
      [`within ${TARGETS.ttftMs} ms and ${TARGETS.tbtMs} ms`, String(summary.good)],
      ['time to first token, p50 / p95', `${summary.ttftP50Ms.toFixed(0)} / ${summary.ttftP95Ms.toFixed(0)} ms`],
      ['time between tokens, p50 / p95', `${summary.tbtP50Ms.toFixed(0)} / ${summary.tbtP95Ms.toFixed(0)} ms`],
      ['prefilled tokens, wasted', `${engines.prefilledTokens}, ${engines.expiredPrefillTokens}`],
      ['bookings done once, of', `${bookings.filter((done) => done).length}, ${BOOKINGS}`],
    ]
    rows.forEach(([name, value]) => console.log(`  ${name.padEnd(34)} ${value}`))
    if (summary.wrong > 0 || summary.finished === 0) throw new Error('the demo received wrong answers or finished no request')
  } finally {
    await fleet.stop()
  }
}

/** Sends a booking through two boxes with the same key. Returns whether both received the same successful answer. */
async function book (addresses: readonly string[], i: number): Promise<boolean> {
  const addressAt = (k: number) => addresses[k % addresses.length]
  const lookup = await request(`http://${addressAt(i)}/v1/lookup`)
  const { keyPrefix } = await lookup.body.json() as { keyPrefix: string }
  const send = async (address: string) => {
    const response = await request(`http://${address}/desk/bookings`, { method: 'POST', headers: { 'idempotency-key': `${keyPrefix}.b${i}` }, body: 'a crew' })
    return response.statusCode + await response.body.text()
  }
  const [first, second] = await Promise.all([send(addressAt(i + 1)), send(addressAt(i + 2))])
  return first === second && first.startsWith('200')
}
