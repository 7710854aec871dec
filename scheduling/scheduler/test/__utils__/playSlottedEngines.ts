import { PlacementOutcome, UpstreamOutcome } from '@reelspan/core.messages'
import { type AdoptedReservation, type ShardScheduler } from '@reelspan/scheduling.scheduler'
import { SeededRandom, type VirtualClock } from '@reelspan/utils.fakes'
import { requestOf } from './createShard.js'

export interface SlottedLoad {
  clock: VirtualClock
  scheduler: ShardScheduler
  /** A scheduler that takes over at a time of the load, with the reservations that owners report to it. */
  successor?: { atMs: number, scheduler: ShardScheduler }
  clients: readonly { client: string, perSecond: number }[]
  durationMs: number
  slots: number
  /** Slots of an engine that others hold all the time. */
  heldByOthers?: (engine: string) => number
  tokens: number
  promptTokens: number
  /** Time that a prefill engine takes for a prompt. It computes one at a time. */
  prefillMs: number
  transferMs: number
  /** Time for each token of a stream that starts on an engine now. */
  tokenMsOf: (engine: string) => number
  seed?: number
  /** Called once at a time of the load. */
  event?: { atMs: number, run: () => void }
}

export interface SlottedOutcome {
  placements: number
  /** Placements that the decode engine refused, since all its slots were taken. */
  refusedByEngines: number
  /** Share of the slots' time in which they ran streams, from the second quarter of the load on. */
  usedShare: number
  tallies: Map<string, { sent: number, served: number }>
}

const MAX_PLACEMENTS = 3
/** Callers retry once, after the delay that they are given. */
const MAX_RETRIES = 1
const PATIENT = { ttftLeftMs: 900, patienceMs: 2700, deadlineMs: 60_000 }

/** Plays streams on decode engines that have a number of slots, need their own time for each token, and refuse what has no slot. Their reports list no streams. */
export async function playSlottedEngines ({ clock, scheduler, clients, durationMs, successor, slots, heldByOthers = () => 0, tokens, promptTokens, prefillMs, transferMs, tokenMsOf, seed = 3, event }: SlottedLoad): Promise<SlottedOutcome> {
  const random = new SeededRandom(seed)
  const startedAtMs = clock.nowMs()
  const running = new Map<string, number>(scheduler.ledger.decodeEngines().map(({ name }) => [name, 0]))
  const outcome: SlottedOutcome = { placements: 0, refusedByEngines: 0, usedShare: 0, tallies: new Map(clients.map(({ client }) => [client, { sent: 0, served: 0 }])) }
  const countedFromMs = startedAtMs + durationMs / 4
  let usedMs = 0
  const prefillFreeAtMs = new Map<string, number>()
  const prefill = async (engine: string) => {
    const endMs = Math.max(clock.nowMs(), prefillFreeAtMs.get(engine) ?? 0) + prefillMs
    prefillFreeAtMs.set(engine, endMs)
    await clock.sleep(endMs - clock.nowMs())
  }
  let current = scheduler
  /** Placements that are not released, with the time of each. */
  const live = new Map<string, { reservation: AdoptedReservation, placedAtMs: number }>()
  const run = async (engine: string) => {
    const fromMs = clock.nowMs()
    running.set(engine, (running.get(engine) ?? 0) + 1)
    await clock.sleep(tokens * tokenMsOf(engine))
    running.set(engine, (running.get(engine) ?? 0) - 1)
    usedMs += Math.max(0, Math.min(clock.nowMs(), startedAtMs + durationMs) - Math.max(fromMs, countedFromMs))
  }
  const call = async (client: string) => {
    const tally = outcome.tallies.get(client) as { sent: number, served: number }
    tally.sent++
    const { returnId } = requestOf()
    const avoid: string[] = []
    let retries = 0
    for (let placements = 0; placements < MAX_PLACEMENTS;) {
      const request = requestOf({ client, returnId, maxTokens: tokens, tbtTargetMs: 10_000, promptTokens, ...PATIENT, avoid })
      const answer = await current.reserve(request)
      if (answer.outcome === PlacementOutcome.Refused) {
        if (retries++ === MAX_RETRIES) return
        await clock.sleep(answer.retryAfterMs)
        continue
      }
      placements++
      outcome.placements++
      const reservation = { request, plan: answer, ageMs: 0, decoding: false, tokensDone: 0 }
      live.set(request.label.requestId, { reservation, placedAtMs: clock.nowMs() })
      await prefill(answer.prefillEngine)
      current.recordPrefillEnd(request.label)
      await clock.sleep(transferMs)
      const engine = answer.decodeEngine
      const hasSlot = (running.get(engine) ?? 0) < slots - heldByOthers(engine)
      if (hasSlot) {
        reservation.decoding = true
        await run(engine)
        tally.served++
      }
      live.delete(request.label.requestId)
      const report = hasSlot ? { completionTokens: tokens, ttftErrorMs: 0, tbtP50Ms: tokenMsOf(engine) } : undefined
      current.release(request.label, report, [hasSlot ? { engine, outcome: UpstreamOutcome.Answered } : { engine, outcome: UpstreamOutcome.Failed, full: true }])
      if (hasSlot) return
      outcome.refusedByEngines++
      avoid.push(engine)
    }
  }
  const send = async ({ client, perSecond }: { client: string, perSecond: number }) => {
    const calls: Promise<void>[] = []
    while (clock.nowMs() - startedAtMs < durationMs) {
      await clock.sleep(-Math.log(1 - random.nextFloat()) * 1000 / perSecond)
      calls.push(call(client))
    }
    await Promise.all(calls)
  }
  const disturb = async () => {
    if (!event) return
    await clock.sleep(event.atMs)
    event.run()
  }
  const handOver = async () => {
    if (!successor) return
    await clock.sleep(successor.atMs)
    current = successor.scheduler
    // Requests that wait at the previous scheduler are refused there, and retried here.
    await scheduler.stop()
    current.adopt([...live.values()].map(({ reservation, placedAtMs }) => ({ ...reservation, ageMs: clock.nowMs() - placedAtMs })))
  }
  await clock.run(Promise.all([...clients.map(send), disturb(), handOver()]), 4 * durationMs)
  const ownSlots = [...running.keys()].reduce((sum, engine) => sum + slots - heldByOthers(engine), 0)
  outcome.usedShare = usedMs / (ownSlots * 0.75 * durationMs)
  return outcome
}
