import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { ResourceKind } from '@reelspan/config.resources'
import { Collection } from '@reelspan/core.messages'
import { type FakeFleet } from '@reelspan/utils.fake-fleet'
import { promptFor } from '@reelspan/utils.fakes'
import fc from 'fast-check'
import { Oracle, type SentRequest } from './oracle.js'

export interface World {
  fleet: FakeFleet
  oracle: Oracle
}

/** The oracle's own state is in `World`; fast-check's model stays empty. */
export type EmptyModel = Record<string, never>

/** One thing that callers, operators or bad luck do. */
class Step implements fc.AsyncCommand<EmptyModel, World> {
  readonly #name: string
  readonly #act: (world: World) => void | Promise<unknown>

  constructor (name: string, act: (world: World) => void | Promise<unknown>) {
    this.#name = name
    this.#act = act
  }

  check (): boolean {
    return true
  }

  async run (_model: EmptyModel, world: World): Promise<void> {
    await this.#act(world)
    await world.fleet.clock.advance(1)
    world.oracle.checkAlways()
  }

  toString (): string {
    return this.#name
  }
}

const small = fc.nat({ max: 1000 })

function pick<T> (items: readonly T[], index: number): T {
  return items[index % items.length]
}

/** Boxes whose process runs and is not stopping. */
function boxName ({ fleet }: World, index: number): string {
  return pick(fleet.liveBoxes(), index).name
}

function submit (world: World, throughIndex: number, one: SentRequest): void {
  world.oracle.sent.push(one)
  world.oracle.send(one, boxName(world, throughIndex))
}

function step<T extends unknown[]> (name: string, args: { [K in keyof T]: fc.Arbitrary<T[K]> }, act: (world: World, ...values: T) => void | Promise<unknown>): fc.Arbitrary<Step> {
  return fc.tuple<T>(...args).map((values) => new Step(`${name}(${values.join(', ')})`, (world) => act(world, ...values)))
}

const booking = step('booking', [small, small], (world, owner, through) => {
  const request = world.fleet.booking(world.fleet.key(boxName(world, owner)))
  submit(world, through, { id: request.key, request, gone: new AbortController(), outcomes: [], waiting: 0 })
})

const completion = step('completion', [small, small, fc.integer({ min: 1, max: 80 }), fc.boolean()], (world, owner, through, answerTokens, notRepeatable) => {
  const id = `c${world.oracle.sent.length}`
  const prompt = promptFor(id, { answerTokens, shared: 'shared '.repeat(100) })
  const request = world.fleet.completion(boxName(world, owner), prompt, { maxTokens: 100, deadlineMs: 8000, notRepeatable })
  submit(world, through, { id, request, gone: new AbortController(), outcomes: [], waiting: 0 })
})

const retry = step('retry', [small, small], (world, which, through) => {
  const { sent } = world.oracle
  if (sent.length > 0) world.oracle.send(pick(sent, which), boxName(world, through))
})

const cancel = step('cancel', [small, small], (world, which, through) => {
  const { sent } = world.oracle
  if (sent.length > 0) world.fleet.box(boxName(world, through)).box.cancel(pick(sent, which).request.key).catch(() => {})
})

const callerGone = step('callerGone', [small], ({ oracle: { sent } }, which) => {
  if (sent.length > 0) pick(sent, which).gone.abort()
})

const kill = step('kill', [small], ({ fleet }, which) => {
  if (fleet.liveBoxes().length > 2) fleet.kill(pick(fleet.liveBoxes(), which).name)
})

const restart = step('restart', [small], async ({ fleet }, which) => {
  const dead = [...new Set(fleet.boxes.map(({ name }) => name))].filter((name) => !fleet.box(name).alive)
  if (dead.length > 0) void fleet.startBox(pick(dead, which))
})

/** Another process at the address of one that is paused: the replacement of a box that was taken for dead. */
const replacePaused = step('replacePaused', [], async ({ fleet }) => {
  const paused = fleet.liveBoxes().find(({ clock, name }) => clock.paused && fleet.box(name).clock.paused)
  if (paused) void fleet.startBox(paused.name)
})

const pause = step('pause', [small], ({ fleet }, which) => {
  const running = fleet.liveBoxes().filter(({ clock }) => !clock.paused)
  if (running.length > 2) pick(running, which).clock.pause()
})

const resume = step('resume', [], ({ fleet }) => fleet.liveBoxes().forEach(({ clock }) => clock.resume()))

const cut = step('cut', [small, small, fc.boolean()], ({ fleet }, a, b, oneWay) => {
  const addresses = fleet.everyAddress()
  if (oneWay) fleet.network.cut(pick(addresses, a), pick(addresses, b))
  else fleet.network.cutBoth(pick(addresses, a), pick(addresses, b))
})

const heal = step('heal', [], ({ fleet }) => fleet.network.healAll())

const plannedStop = step('plannedStop', [small], ({ fleet }, which) => {
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

const leaving = step('leaving', [small, fc.boolean()], ({ fleet }, which, isLeaving) => {
  const name = pick([...fleet.services.values()], which).name
  const spec = { kind: UpstreamKind.Service, pool: 'script-desk', address: fleet.address(name), availabilityZone: 'hall-a', leaving: isLeaving }
  fleet.platform.publish(Collection.Fleet, [{ kind: FleetEntryKind.Upstream, name, spec }])
})

const engineFault = step('engineFault', [small, fc.boolean(), fc.boolean(), fc.boolean(), fc.option(fc.nat({ max: 20 }), { nil: undefined })], ({ fleet }, which, stallTransfers, crossAnswers, doubleTokens, breakAfterTokens) => {
  Object.assign(pick([...fleet.engines.values()], which).faults, { stallTransfers, crossAnswers, doubleTokens, breakAfterTokens })
})

const engineRestart = step('engineRestart', [small], ({ fleet }, which) => fleet.restartEngine(pick([...fleet.engines.values()], which).name))

const serviceFault = step('serviceFault', [small, fc.boolean(), fc.boolean()], ({ fleet }, which, loseAnswers, crossAnswers) => {
  Object.assign(pick([...fleet.services.values()], which).faults, { loseAnswers, crossAnswers })
})

const doubled = step('doubled', [fc.constantFrom(0, 0.3, 1)], ({ fleet }, share) => { fleet.network.doubledShare = share })

const wait = step('wait', [fc.constantFrom(10, 100, 400, 1500, 4000)], ({ fleet }, durationMs) => fleet.clock.advance(durationMs))

/** What may happen, common things several times. */
export const STEPS = [
  booking, booking, completion, completion, completion, retry, retry, wait, wait, wait,
  cancel, callerGone, kill, restart, restart, pause, resume, replacePaused, cut, heal, plannedStop, platformFault,
  edit, rollout, leaving, engineFault, engineRestart, serviceFault, doubled,
]

/** Ends every fault and lets time pass until nothing more should happen. */
export async function comeToRest ({ fleet }: World): Promise<void> {
  fleet.network.healAll()
  fleet.network.doubledShare = 0
  fleet.platform.outage = false
  fleet.platform.staleMs = 0
  fleet.liveBoxes().forEach(({ clock }) => clock.resume())
  fleet.engines.forEach((engine) => Object.assign(engine.faults, { stallTransfers: false, crossAnswers: false, doubleTokens: false, breakAfterTokens: undefined }))
  fleet.services.forEach((service) => Object.assign(service.faults, { loseAnswers: false, crossAnswers: false }))
  await fleet.clock.advance(30_000)
}
