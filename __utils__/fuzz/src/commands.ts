import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { ResourceKind } from '@reelspan/config.resources'
import { Collection } from '@reelspan/core.messages'
import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import { promptFor } from '@reelspan/utils.fakes'
import fc from 'fast-check'
import { Oracle, type SentRequest } from './oracle.js'

export interface FuzzContext {
  fleet: FakeFleet
  oracle: Oracle
}

/** All state is in `FuzzContext`, so the model that fast-check passes along is empty. */
export type EmptyModel = Record<string, never>

/** One action of a caller or an operator, or one fault. */
class Step implements fc.AsyncCommand<EmptyModel, FuzzContext> {
  readonly #name: string
  readonly #action: (context: FuzzContext) => void | Promise<unknown>

  constructor (name: string, action: (context: FuzzContext) => void | Promise<unknown>) {
    this.#name = name
    this.#action = action
  }

  check (): boolean {
    return true
  }

  async run (_model: EmptyModel, context: FuzzContext): Promise<void> {
    await this.#action(context)
    await context.fleet.clock.advance(1)
    context.oracle.checkInvariants()
  }

  toString (): string {
    return this.#name
  }
}

const smallNat = fc.nat({ max: 1000 })

function pick<T> (items: readonly T[], index: number): T {
  return items[index % items.length]
}

/** Picks a running box by index. */
function boxName ({ fleet }: FuzzContext, index: number): string {
  return pick(fleet.liveBoxes(), index).name
}

function submit (context: FuzzContext, throughIndex: number, entry: SentRequest): void {
  context.oracle.sent.push(entry)
  context.oracle.send(entry, boxName(context, throughIndex))
}

function step<T extends unknown[]> (name: string, args: { [K in keyof T]: fc.Arbitrary<T[K]> }, action: (context: FuzzContext, ...values: T) => void | Promise<unknown>): fc.Arbitrary<Step> {
  return fc.tuple<T>(...args).map((values) => new Step(`${name}(${values.join(', ')})`, (context) => action(context, ...values)))
}

const booking = step('booking', [smallNat, smallNat], (context, owner, through) => {
  const request = context.fleet.booking(context.fleet.key(boxName(context, owner)))
  submit(context, through, { id: request.key, request, gone: new AbortController(), outcomes: [], waiting: 0 })
})

const completion = step('completion', [smallNat, smallNat, fc.integer({ min: 1, max: 80 }), fc.boolean()], (context, owner, through, answerTokens, notRepeatable) => {
  const id = `c${context.oracle.sent.length}`
  const prompt = promptFor(id, { answerTokens, shared: 'shared '.repeat(100) })
  const request = context.fleet.completion(boxName(context, owner), prompt, { maxTokens: 100, deadlineMs: 8000, notRepeatable })
  submit(context, through, { id, request, gone: new AbortController(), outcomes: [], waiting: 0 })
})

const retry = step('retry', [smallNat, smallNat], (context, which, through) => {
  const { sent } = context.oracle
  if (sent.length > 0) context.oracle.send(pick(sent, which), boxName(context, through))
})

const cancel = step('cancel', [smallNat, smallNat], (context, which, through) => {
  const { sent } = context.oracle
  if (sent.length > 0) context.fleet.box(boxName(context, through)).box.cancel(pick(sent, which).request.key).catch(() => {})
})

const callerGone = step('callerGone', [smallNat], ({ oracle: { sent } }, which) => {
  if (sent.length > 0) pick(sent, which).gone.abort()
})

const kill = step('kill', [smallNat], ({ fleet }, which) => {
  if (fleet.liveBoxes().length > 2) fleet.kill(pick(fleet.liveBoxes(), which).name)
})

const restart = step('restart', [smallNat], async ({ fleet }, which) => {
  const stopped = [...new Set(fleet.boxes.map(({ name }) => name))].filter((name) => !fleet.box(name).alive)
  if (stopped.length > 0) void fleet.startBox(pick(stopped, which))
})

/** Starts another process at the address of a paused one, like the replacement of a box that was assumed to have exited. */
const replacePaused = step('replacePaused', [], async ({ fleet }) => {
  const paused = fleet.liveBoxes().find(({ clock, name }) => clock.paused && fleet.box(name).clock.paused)
  if (paused) void fleet.startBox(paused.name)
})

const pause = step('pause', [smallNat], ({ fleet }, which) => {
  const running = fleet.liveBoxes().filter(({ clock }) => !clock.paused)
  if (running.length > 2) pick(running, which).clock.pause()
})

const resume = step('resume', [], ({ fleet }) => fleet.liveBoxes().forEach(({ clock }) => clock.resume()))

const cut = step('cut', [smallNat, smallNat, fc.boolean()], ({ fleet }, a, b, oneWay) => {
  const addresses = fleet.allAddresses()
  if (oneWay) fleet.network.block(pick(addresses, a), pick(addresses, b))
  else fleet.network.blockBoth(pick(addresses, a), pick(addresses, b))
})

const heal = step('heal', [], ({ fleet }) => fleet.network.healAll())

const plannedStop = step('plannedStop', [smallNat], ({ fleet }, which) => {
  if (fleet.liveBoxes().length <= 3) return
  const stopping = pick(fleet.liveBoxes(), which)
  stopping.box.drain().then(() => { stopping.alive = false }).catch(() => {})
})

const platformFault = step('platformFault', [fc.boolean(), fc.nat({ max: 8000 })], ({ fleet }, outage, staleMs) => {
  fleet.platform.outage = outage
  fleet.platform.staleMs = staleMs
})

const edit = step('edit', [fc.integer({ min: 300, max: 600 }), fc.boolean()], ({ fleet }, ttftTargetMs, wrong) => {
  const model = wrong ? 'no-such-model' : 'draft'
  fleet.platform.publish(Collection.Declarations, [{ kind: ResourceKind.Route, name: 'drafts', spec: { model, ttftTargetMs } }])
})

const rollout = step('rollout', [fc.constantFrom('1', '2'), fc.nat({ max: 100 })], ({ fleet }, toVersion, enginePercent) => {
  fleet.platform.publish(Collection.Declarations, [{ kind: ResourceKind.Rollout, name: 'next', spec: { model: 'draft', toVersion, enginePercent } }])
})

const leaving = step('leaving', [smallNat, fc.boolean()], ({ fleet }, which, isLeaving) => {
  const name = pick([...fleet.services.values()], which).name
  const spec = { kind: UpstreamKind.Service, pool: 'script-desk', address: fleet.address(name), availabilityZone: 'hall-a', leaving: isLeaving }
  fleet.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name, spec }])
})

const engineFault = step('engineFault', [smallNat, fc.boolean(), fc.boolean(), fc.boolean(), fc.option(fc.nat({ max: 20 }), { nil: undefined })], ({ fleet }, which, stallTransfers, crossAnswers, doubleTokens, breakAfterTokens) => {
  Object.assign(pick([...fleet.engines.values()], which).faults, { stallTransfers, crossAnswers, doubleTokens, breakAfterTokens })
})

const engineRestart = step('engineRestart', [smallNat], ({ fleet }, which) => fleet.restartEngine(pick([...fleet.engines.values()], which).name))

const serviceFault = step('serviceFault', [smallNat, fc.boolean(), fc.boolean()], ({ fleet }, which, loseAnswers, crossAnswers) => {
  Object.assign(pick([...fleet.services.values()], which).faults, { loseAnswers, crossAnswers })
})

const doubled = step('doubled', [fc.constantFrom(0, 0.3, 1)], ({ fleet }, share) => { fleet.network.duplicateShare = share })

const wait = step('wait', [fc.constantFrom(10, 100, 400, 1500, 4000)], ({ fleet }, durationMs) => fleet.clock.advance(durationMs))

/** Possible steps. Frequent ones are listed several times to be drawn more often. */
export const STEPS = [
  booking, booking, completion, completion, completion, retry, retry, wait, wait, wait,
  cancel, callerGone, kill, restart, restart, pause, resume, replacePaused, cut, heal, plannedStop, platformFault,
  edit, rollout, leaving, engineFault, engineRestart, serviceFault, doubled,
]

/** Ends all faults and advances the time far enough for all activity to end. */
export async function quiesce ({ fleet }: FuzzContext): Promise<void> {
  fleet.network.healAll()
  fleet.network.duplicateShare = 0
  fleet.platform.outage = false
  fleet.platform.staleMs = 0
  fleet.liveBoxes().forEach(({ clock }) => clock.resume())
  fleet.engines.forEach((engine) => Object.assign(engine.faults, { stallTransfers: false, crossAnswers: false, doubleTokens: false, breakAfterTokens: undefined }))
  fleet.services.forEach((service) => Object.assign(service.faults, { loseAnswers: false, crossAnswers: false }))
  await fleet.clock.advance(30_000)
}
