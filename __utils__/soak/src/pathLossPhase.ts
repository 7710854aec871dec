import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { type Attempt } from './attempt.js'
import { drawOne } from './drawOne.js'
import { PathLoss } from './pathLoss.js'
import { type SoakFleet } from './soakFleet.js'
import { type SoakBox } from './soakMembers.js'

export interface PathLossPhaseOptions {
  fleet: SoakFleet
  random: SeededRandom
  /** All attempts of the clients so far. */
  attempts: () => readonly Attempt[]
}

/** Which boxes lose their paths. */
enum Extent {
  One = 'one',
  Most = 'most',
  AllButOne = 'allButOne',
  Zone = 'zone',
}

const LOSSES = 3
const LOSS_MS = 5000
const FLAP_MS = 600
const FLAPPING_SHARE = 0.25
/** Boxes know by then that they have lost their paths, or regained them. */
const DETECTION_MS = 1000
/** All boxes serve again by then. */
const RECOVERY_MS = 2000
const RECOVERED_MS = 1500
/** What the cut boxes serve, as a share of what the others do. */
const MIN_SHARE_OF_OTHERS = 0.9
/** Upstreams refuse or lose some 2 of 100, and long calls may end after their deadline. */
const MIN_SERVED_SHARE = 0.9
const MIN_ATTEMPTS = 10

interface Window {
  fromMs: number
  toMs: number
}

/** Some boxes lose their paths to all upstreams for a while, several times, while clients go on. */
export class PathLossPhase {
  readonly violations: string[] = []
  /** Description and served shares of each loss. */
  readonly log: string[] = []
  readonly #opts: PathLossPhaseOptions

  constructor (opts: PathLossPhaseOptions) {
    this.#opts = opts
  }

  async run (): Promise<void> {
    for (let i = 0; i < LOSSES; i++) await this.#loseAndRegain()
  }

  async #loseAndRegain (): Promise<void> {
    const { fleet, random } = this.#opts
    const loss = drawOne(random, Object.values(PathLoss))
    const extent = drawOne(random, Object.values(Extent))
    const flaps = random.nextFloat() < FLAPPING_SHARE
    const cut = this.#boxesOf(extent)
    const ends = cut.map(({ addresses }) => fleet.disruptions.begin(addresses.front))
    const fromMs = performance.now()
    const toMs = fromMs + LOSS_MS
    while (performance.now() < toMs) {
      await Promise.all(cut.map((box) => fleet.setPathLoss(box, loss)))
      await sleep(flaps ? FLAP_MS : LOSS_MS)
      if (!flaps) break
      await Promise.all(cut.map((box) => fleet.setPathLoss(box)))
      await sleep(FLAP_MS)
    }
    const lossEndedMs = performance.now()
    await Promise.all(cut.map((box) => fleet.setPathLoss(box)))
    await sleep(RECOVERY_MS)
    ends.forEach((end) => end())
    const recoveredMs = performance.now()
    await sleep(RECOVERED_MS + RECOVERY_MS)
    const cutAddresses = new Set(cut.map(({ addresses }) => addresses.front))
    const name = `${loss}${flaps ? ' flapping' : ''} at ${extent} (${cut.length} of ${fleet.boxes.length} boxes)`
    const atCut = this.#servedIn({ fromMs: fromMs + DETECTION_MS, toMs: lossEndedMs }, (box) => cutAddresses.has(box))
    const atOthers = this.#servedIn({ fromMs, toMs: lossEndedMs }, (box) => !cutAddresses.has(box))
    const after = this.#servedIn({ fromMs: recoveredMs, toMs: recoveredMs + RECOVERED_MS }, () => true)
    this.log.push(`${name}: ${describe(atCut)} there, ${describe(atOthers)} at the others, ${describe(after)} afterwards`)
    const othersShare = atOthers.count < MIN_ATTEMPTS ? 1 : atOthers.served / atOthers.count
    this.#check(`${name}: at the boxes without paths`, atCut, MIN_SHARE_OF_OTHERS * othersShare)
    this.#check(`${name}: at the others`, atOthers, MIN_SERVED_SHARE)
    this.#check(`${name}: afterwards`, after, MIN_SERVED_SHARE)
  }

  #boxesOf (extent: Extent): SoakBox[] {
    const { fleet: { boxes }, random } = this.#opts
    const shuffled = random.sample(boxes, boxes.length)
    switch (extent) {
      case Extent.One: return shuffled.slice(0, 1)
      case Extent.Most: return shuffled.slice(0, Math.ceil(0.6 * boxes.length))
      case Extent.AllButOne: return shuffled.slice(1)
      case Extent.Zone: {
        const inZone = boxes.filter(({ zone }) => zone === shuffled[0].zone)
        return inZone.slice(0, boxes.length - 1)
      }
    }
  }

  #servedIn ({ fromMs, toMs }: Window, isOfBox: (box: string) => boolean): { served: number, count: number } {
    const ended = this.#opts.attempts().filter(({ box, sentAtMs, endedAtMs, abortedAtMs, wasStalled, resumes }) =>
      isOfBox(box) && resumes === undefined && sentAtMs >= fromMs && sentAtMs < toMs && endedAtMs !== undefined && abortedAtMs === undefined && !wasStalled)
    return { served: ended.filter(({ status, error }) => status === 200 && error === undefined).length, count: ended.length }
  }

  #check (what: string, { served, count }: { served: number, count: number }, minShare: number): void {
    if (count >= MIN_ATTEMPTS && served < minShare * count) this.violations.push(`${what} only ${served} of ${count} attempts were served`)
  }
}

function describe ({ served, count }: { served: number, count: number }): string {
  return `${served} of ${count} served`
}
