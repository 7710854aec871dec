import { ErrorCode } from '@reelspan/core.error'
import { AnswerFraming } from '@reelspan/upstream.client'
import { type FakeFleet, type FakeRelayCaller } from '@reelspan/utils.fake-fleet'
import { type RunTiming } from '@reelspan/utils.fakes'
import { HOST, startFleet } from './crashingRequests.js'
import { LeavingCaller } from './leavingCaller.js'

/** Time for which a box is without disruption before time bounds hold for it. */
export const CONTACT_MS = 1000
/** Exits after which the part must be known. */
export const KNOWN_AFTER_EXITS = 5
/** Requests with the part that may reach engines later than `CONTACT_MS` after that. */
export const MAX_LATE_REQUESTS = 3
export const CRASHING_PART = 'cc'
const DEADLINE_MS = 14_000

/** Requests of one kind that are sent at regular intervals, each with a last part of its own. */
export interface PromptTraffic {
  name: string
  everyMs: number
  durationMs: number
  /** Parts of the nth request but for its own last one. */
  partsOf: (nth: number) => readonly string[]
  /** Path of the route; a stream that is not resumable by default. */
  path?: string
  /** Boxes that receive them; all live ones by default. */
  boxes?: () => readonly string[]
  callerOf?: (nth: number) => string
  /** How many requests in a row are alike; 1 by default. */
  copies?: number
  /** How long after its answer has begun the caller of the nth request disconnects, if it does. */
  leaveAfterMsOf?: (nth: number) => number | undefined
}

export interface SentPrompt {
  id: string
  sentAtMs: number
  parts: readonly string[]
  caller?: FakeRelayCaller
}

export interface PartFleetOptions {
  seed?: number
  boxCount?: number
  restartDelayMs?: number
  crashingParts?: readonly string[]
  timing?: Partial<RunTiming>
  /** Whether all answers end with their connection. */
  endsWithConnection?: boolean
}

/** Starts a fleet whose engines crash when they begin to write an answer to a prompt with one of the parts. */
export async function startPartFleet ({ seed = 1, boxCount = 8, restartDelayMs, crashingParts = [CRASHING_PART], timing = {}, endsWithConnection = false }: PartFleetOptions = {}): Promise<FakeFleet> {
  const fleet = await startFleet({ seed, boxCount, restartDelayMs })
  Object.assign(fleet.relayedUpstreams.timing, timing)
  if (endsWithConnection) fleet.relayedUpstreams.framingOf = () => AnswerFraming.Connection
  fleet.relayedUpstreams.crashesUpstream = ({ prompt }) => prompt !== undefined && prompt.prefixes.slice(0, -1).some(({ digest }) => crashingParts.includes(digest))
  return fleet
}

/** Sends traffic until its duration has passed. The caller advances the clock. */
export async function sendPrompts (fleet: FakeFleet, { name, everyMs, durationMs, partsOf, path = '/draft/', boxes, callerOf = () => '10.9.0.1', copies = 1, leaveAfterMsOf = () => undefined }: PromptTraffic): Promise<SentPrompt[]> {
  const sent: SentPrompt[] = []
  const count = Math.floor(durationMs / everyMs)
  for (let i = 0; i < count; i++) {
    const names = boxes?.() ?? fleet.liveBoxes().map((box) => box.name)
    const [box] = fleet.random.sample(names, 1)
    const content = i - i % copies
    const parts = partsOf(content)
    const own = `${name}-own-${content}`
    const prompt = { model: 'draft', promptTokens: 500, maxTokens: 40, prefixes: [...parts, own].map((digest, at) => ({ digest, tokens: 100 * (at + 1) })) }
    const one: SentPrompt = { id: `${name}-${i}`, sentAtMs: fleet.clock.nowMs(), parts }
    sent.push(one)
    void fleet.relay(box, { id: one.id, host: HOST, target: `${path}${own}`, prompt, callerAddress: callerOf(content) }, DEADLINE_MS, new LeavingCaller(fleet.clock, leaveAfterMsOf(i))).then((caller) => { one.caller = caller })
    await fleet.clock.sleep(everyMs)
  }
  return sent
}

/** Requests that share their first two parts with the crashing ones. */
export function soundTraffic (over: Partial<PromptTraffic> = {}): PromptTraffic {
  return { name: 'sound', everyMs: 100, durationMs: 14_000, partsOf: (nth) => ['aa', `b${nth % 3}`], ...over }
}

export function crashingTraffic (over: Partial<PromptTraffic> = {}): PromptTraffic {
  return { name: 'crashing', everyMs: 400, durationMs: 10_000, partsOf: (nth) => ['aa', CRASHING_PART, `b${nth % 3}`], ...over }
}

/** Sends sound requests, from `leadMs` on crashing ones as well, and returns both when all are answered. */
export async function play (fleet: FakeFleet, { sound = soundTraffic(), crashing = [crashingTraffic()], leadMs = 3000 }: { sound?: PromptTraffic, crashing?: readonly PromptTraffic[], leadMs?: number } = {}) {
  const sendingSound = sendPrompts(fleet, sound)
  await fleet.clock.advance(leadMs)
  const sendingCrashing = crashing.map((traffic) => sendPrompts(fleet, traffic))
  await fleet.clock.advance(Math.max(sound.durationMs - leadMs, ...crashing.map(({ durationMs }) => durationMs)) + DEADLINE_MS)
  return { sound: await sendingSound, crashing: (await Promise.all(sendingCrashing)).flat() }
}

/** Times at which upstreams crashed because of a prompt part, in order. */
export function crashTimes ({ relayedUpstreams }: FakeFleet, name = 'crashing'): number[] {
  return relayedUpstreams.crashes.filter(({ id }) => id.startsWith(`${name}-`)).map(({ atMs }) => atMs)
}

/** Ids of crashing requests that reached engines, also for their prefill only, although the part must have been known. */
export function lateRequests (fleet: FakeFleet, name = 'crashing'): string[] {
  const knownAtMs = crashTimes(fleet, name)[KNOWN_AFTER_EXITS - 1]
  if (knownAtMs === undefined) return []
  const late = fleet.relayedUpstreams.arrivals.filter(({ id, sentAtMs }) => id.startsWith(`${name}-`) && sentAtMs > knownAtMs + CONTACT_MS)
  return [...new Set(late.map(({ id }) => id))]
}

/** Share of the sound requests that began, from twice `CONTACT_MS` after the last of the first exits on. */
export function soundShare (fleet: FakeFleet, sound: readonly SentPrompt[], name = 'crashing'): number {
  const crashes = crashTimes(fleet, name)
  const fromMs = (crashes[KNOWN_AFTER_EXITS - 1] ?? crashes.at(-1) ?? 0) + 2 * CONTACT_MS
  const later = sound.filter(({ sentAtMs }) => sentAtMs >= fromMs)
  return later.filter(({ caller }) => caller?.begun).length / later.length
}

/** Requests that were refused as quarantined. */
export function quarantinedPrompts (sent: readonly SentPrompt[]): SentPrompt[] {
  return sent.filter(({ caller }) => caller?.refused?.code === ErrorCode.RequestQuarantined)
}
