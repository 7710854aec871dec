import { type AccountSpec, LimitUnit, type Named } from '@reelspan/config.resources'
import { PlacementOutcome, type ReserveRequest } from '@reelspan/core.messages'
import { type ShardScheduler } from '@reelspan/scheduling.scheduler'
import { SeededRandom, type VirtualClock } from '@reelspan/utils.fakes'
import { requestOf } from './createShard.js'

/** The load of one account. */
export interface PlayedAccount {
  client: string
  perSecond: number
  /** Load in place of `perSecond` during a part of the time. */
  burst?: { fromMs: number, untilMs: number, perSecond: number }
  request?: Partial<ReserveRequest>
}

export interface PlayedAccounts {
  clock: VirtualClock
  scheduler: ShardScheduler
  accounts: readonly PlayedAccount[]
  durationMs: number
  /** Time from the end of the prefill to the end of the stream. */
  streamMs: number
  seed?: number
  /** Called once at a time of the load. */
  event?: { atMs: number, run: () => void }
}

/** Results of an account's calls, each with all its attempts. */
export interface AccountTally {
  sent: number
  served: number
  firstServed: number
  inTime: number
}

const TTFT_TARGET_MS = 390
/** Callers that retry at once, whatever delay they were given. */
const IMPATIENT_SHARE = 0.3
const IMPATIENT_RETRIES = 3
/** Others retry once, after the delay that they were given. */
const PATIENT_RETRIES = 1
const ROUND_TRIP_MS = 3

/** Plays accounts whose callers retry refused calls, and the calls that owners make to the scheduler. */
export async function playAccounts ({ clock, scheduler, accounts, durationMs, streamMs, seed = 7, event }: PlayedAccounts): Promise<Map<string, AccountTally>> {
  const random = new SeededRandom(seed)
  const tallies = new Map(accounts.map(({ client }) => [client, { sent: 0, served: 0, firstServed: 0, inTime: 0 }]))
  const startedAtMs = clock.nowMs()
  const call = async ({ client, request }: PlayedAccount) => {
    const tally = tallies.get(client) as AccountTally
    const sentAtMs = clock.nowMs()
    const one = requestOf({ client, promptTokens: 40, ttftLeftMs: TTFT_TARGET_MS, patienceMs: 3 * TTFT_TARGET_MS, deadlineMs: 10_000, allowsOwnPrefill: true, ...request })
    const impatient = random.nextFloat() < IMPATIENT_SHARE
    tally.sent++
    for (let attempt = 0; attempt <= (impatient ? IMPATIENT_RETRIES : PATIENT_RETRIES); attempt++) {
      const label = { ...one.label, requestId: `${one.label.requestId}.${attempt}` }
      const answer = await scheduler.reserve({ ...one, label })
      if (answer.outcome === PlacementOutcome.Placed) {
        tally.served++
        if (attempt === 0) tally.firstServed++
        if (clock.nowMs() + answer.expectedTtftMs - sentAtMs <= one.ttftLeftMs) tally.inTime++
        await clock.sleep(answer.expectedTtftMs / 2)
        scheduler.recordPrefillEnd(label)
        await clock.sleep(Math.max(0, streamMs - answer.expectedTtftMs / 2))
        return scheduler.release(label, { completionTokens: one.maxTokens, ttftErrorMs: 0, tbtP50Ms: 6 })
      }
      await clock.sleep(impatient ? ROUND_TRIP_MS : answer.retryAfterMs)
    }
  }
  const send = async (account: PlayedAccount) => {
    const rateAt = (atMs: number) => account.burst && atMs >= account.burst.fromMs && atMs < account.burst.untilMs ? account.burst.perSecond : account.perSecond
    const calls: Promise<void>[] = []
    while (clock.nowMs() - startedAtMs < durationMs) {
      await clock.sleep(-Math.log(1 - random.nextFloat()) * 1000 / rateAt(clock.nowMs() - startedAtMs))
      calls.push(call(account))
    }
    await Promise.all(calls)
  }
  const disturb = async () => {
    if (!event) return
    await clock.sleep(event.atMs)
    event.run()
  }
  await clock.run(Promise.all([...accounts.map(send), disturb()]), 3 * durationMs)
  return tallies
}

/** Sum over some accounts. */
export function sumOf (tallies: ReadonlyMap<string, AccountTally>, isCounted: (client: string) => boolean): AccountTally {
  return [...tallies].filter(([client]) => isCounted(client)).reduce((sum, [, { sent, served, firstServed, inTime }]) => ({
    sent: sum.sent + sent,
    served: sum.served + served,
    firstServed: sum.firstServed + firstServed,
    inTime: sum.inTime + inTime,
  }), { sent: 0, served: 0, firstServed: 0, inTime: 0 })
}

/** Declares an account with a limit in tokens, so that its weight is its rate. */
export function accountOf (name: string, tokensPerSecond?: number): Named<AccountSpec> {
  return { name, spec: { keyDigests: [], limit: tokensPerSecond === undefined ? undefined : { unit: LimitUnit.Tokens, perSecond: tokensPerSecond, burst: 0, unsizedCost: 1 } } }
}
