import { EngineRole } from '@reelspan/upstream.client'
import test, { type ExecutionContext } from 'ava'
import { createShard, reportOf } from './__utils__/createShard.js'
import { playSlottedEngines, type SlottedOutcome } from './__utils__/playSlottedEngines.js'

const SLOTS = 4
const TOKENS = 24
/** Time for a token of a full batch, as the sample model declares it: 25 ms and 2 ms for each request. */
const DECLARED_TOKEN_MS = 25 + 2 * SLOTS
const DURATION_MS = 40_000
const LONG_PROMPT = { promptTokens: 1000, prefillMs: 130, transferMs: 20 }
const SHORT_PROMPT = { promptTokens: 40, prefillMs: 10, transferMs: 1 }
const MAX_REFUSED_SHARE = 0.02
const MIN_USED_SHARE = 0.9

interface Case {
  heldByOthers?: (engine: string) => number
  onSuspected?: () => void
  /** Load of each client relative to the capacity. */
  clients?: readonly { client: string, share: number }[]
  /** Time for a token relative to the declared one, by the number of the engine. */
  factors: readonly number[]
  prompt?: typeof LONG_PROMPT
  /** Whether another scheduler takes over in the middle of the load. */
  handsOver?: boolean
  /** Engine that turns slower by a factor while it is full. */
  turnsSlow?: { engine: number, factor: number }
  seed?: number
}

async function playCase ({ clients = [{ client: 'one', share: 1.5 }], heldByOthers, onSuspected, factors, prompt = SHORT_PROMPT, handsOver, turnsSlow, seed }: Case): Promise<SlottedOutcome> {
  const options = { prefill: 2 * factors.length, decode: factors.length, slots: SLOTS, onSuspected }
  const { clock, scheduler } = createShard(options)
  scheduler.ledger.decodeEngines().forEach(({ name }) => scheduler.recordReport(name, reportOf(EngineRole.Decode, { placesUsed: heldByOthers?.(name) ?? 0 })))
  const current = [...factors]
  const tokenMsOf = (engine: string) => DECLARED_TOKEN_MS * current[Number(engine.split('-').at(-1)) - 1]
  const capacityPerSecond = factors.reduce((sum, factor) => sum + SLOTS * 1000 / (TOKENS * DECLARED_TOKEN_MS * factor), 0)
  const durationMs = DURATION_MS * Math.max(1, Math.min(...factors))
  const event = turnsSlow && { atMs: durationMs / 2, run: () => { current[turnsSlow.engine] *= turnsSlow.factor } }
  const successor = handsOver ? { atMs: durationMs / 2, scheduler: createShard({ ...options, clock }).scheduler } : undefined
  return playSlottedEngines({ clock, scheduler, successor, clients: clients.map(({ client, share }) => ({ client, perSecond: share * capacityPerSecond })), durationMs, slots: SLOTS, heldByOthers, tokens: TOKENS, ...prompt, tokenMsOf, seed, event })
}

function checkOutcome (t: ExecutionContext, { placements, refusedByEngines, usedShare }: SlottedOutcome, name: string, minUsedShare = MIN_USED_SHARE): void {
  const text = `${name}: ${refusedByEngines} of ${placements} placements refused by full engines, ${usedShare.toFixed(2)} of the slots used`
  t.log(text)
  t.true(refusedByEngines < MAX_REFUSED_SHARE * placements, text)
  t.true(usedShare >= minUsedShare, text)
}

for (const factor of [0.2, 1, 5, 20]) {
  test(`engines that need ${factor} times the declared time for a token are neither filled beyond their slots nor left idle`, async (t) => {
    checkOutcome(t, await playCase({ factors: [factor, factor] }), `${factor} times`)
  })
}

test('one slow engine of four is not filled beyond its slots', async (t) => {
  checkOutcome(t, await playCase({ factors: [1, 1, 1, 8] }), 'one of four slow')
})

test('an engine that turns slow while it is full is not filled beyond its slots', async (t) => {
  for (const seed of [1, 2, 3]) {
    checkOutcome(t, await playCase({ factors: [1, 1], turnsSlow: { engine: 1, factor: 10 }, seed }), `seed ${seed}`)
  }
})

test('with prompts that take a part of the time of a stream, slots are neither lost nor left idle', async (t) => {
  for (const factor of [1, 5]) {
    checkOutcome(t, await playCase({ factors: [factor, factor], prompt: LONG_PROMPT }), `${factor} times`)
  }
})

test('a scheduler that takes over slow engines that are full does not fill them beyond their slots', async (t) => {
  checkOutcome(t, await playCase({ factors: [5, 5], handsOver: true }), '5 times, with a hand-over')
})

test('a small account is served what it requests while a large one fills slow engines', async (t) => {
  for (const factor of [1, 5]) {
    const clients = [{ client: 'large', share: 1.3 }, { client: 'small', share: 0.2 }]
    const outcome = await playCase({ factors: [factor, factor], clients })
    checkOutcome(t, outcome, `${factor} times`)
    const { sent, served } = outcome.tallies.get('small') ?? { sent: 1, served: 0 }
    t.true(served >= 0.95 * sent, `${served} of ${sent}`)
  }
})

test('an engine whose slots are held by requests of others is not filled beyond the rest, and not suspected', async (t) => {
  let suspected = 0
  for (const held of [1, 2, 4]) {
    checkOutcome(t, await playCase({ factors: [0.4, 0.4], heldByOthers: (engine) => engine === 'd-1' ? held : 0, onSuspected: () => { suspected++ } }), `${held} of 4 slots held by others`)
  }
  t.is(suspected, 0)
})
