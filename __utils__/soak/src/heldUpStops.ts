import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { type PlannedStop } from './checkBounds.js'
import { drawOne } from './drawOne.js'
import { type SoakFleet } from './soakFleet.js'
import { type SoakBox } from './soakMembers.js'
import { type StallDetector } from './stallDetector.js'

/** Kinds of planned work beside a stop. */
enum WorkBeside {
  None = 'none',
  Reload = 'reload',
  ChangeConfiguration = 'changeConfiguration',
  /** Another box is held up. */
  HoldUpPeer = 'holdUpPeer',
}

export interface HeldUpStopsOptions {
  fleet: SoakFleet
  random: SeededRandom
  stallDetector: Pick<StallDetector, 'stalls'>
  onViolation: (text: string) => void
}

const MIN_HOLD_UP_MS = 300
const MAX_HOLD_UP_MS = 3000
/** A second hold-up begins this long after the signal and lasts no longer than this. */
const SECOND_HOLD_UP_FROM_MS = 3500
const MAX_SECOND_HOLD_UP_MS = 1200
const SECOND_HOLD_UP_SHARE = 0.4
const MAX_GAP_MS = 2500
/** Others go on serving. */
const STOPPED_SHARE = 0.5

/** Stops boxes whose processes are held up around the signal, one after the other, while earlier stops are still in progress. */
export class HeldUpStops {
  readonly #opts: HeldUpStopsOptions
  readonly stops: PlannedStop[] = []
  readonly log: string[] = []

  constructor (opts: HeldUpStopsOptions) {
    this.#opts = opts
  }

  async run (): Promise<void> {
    const { fleet: { boxes }, random } = this.#opts
    const stopped = random.sample(boxes, Math.max(1, Math.floor(STOPPED_SHARE * boxes.length)))
    const stops: Promise<void>[] = []
    for (const box of stopped) {
      stops.push(this.#stop(box, drawOne(random, boxes.filter((other) => !stopped.includes(other)))))
      await sleep(random.nextFloat() * MAX_GAP_MS)
    }
    await Promise.all(stops)
  }

  async #stop (box: SoakBox, peer: SoakBox): Promise<void> {
    const { fleet, random, stallDetector, onViolation } = this.#opts
    const holdUpMs = this.#drawMs(MIN_HOLD_UP_MS, MAX_HOLD_UP_MS)
    const signalAfterMs = this.#drawMs(0, holdUpMs)
    const secondMs = random.nextFloat() < SECOND_HOLD_UP_SHARE ? this.#drawMs(0, MAX_SECOND_HOLD_UP_MS) : 0
    const beside = drawOne(random, Object.values(WorkBeside))
    const description = `${box.name} is held up for ${holdUpMs} ms and gets SIGTERM after ${signalAfterMs} ms of them, then for ${secondMs} ms; beside it: ${beside}`
    this.log.push(description)
    const { process } = box
    const held = holdUp(box, holdUpMs)
    await sleep(signalAfterMs)
    const signalledAtMs = performance.now()
    this.stops.push({ box: box.addresses.front, atMs: signalledAtMs })
    const stopped = fleet.stopBox(box, () => {
      if (!stallDetector.stalls.some(({ toMs }) => toMs > signalledAtMs)) onViolation(`did not stop within the grace period: ${description}`)
    })
    const held2 = sleep(SECOND_HOLD_UP_FROM_MS).then(() => secondMs > 0 && process.running ? holdUp({ ...box, process }, secondMs) : undefined)
    await Promise.all([held, held2, stopped, this.#workBeside(beside, box, peer)])
  }

  async #workBeside (work: WorkBeside, box: SoakBox, peer: SoakBox): Promise<void> {
    const { fleet } = this.#opts
    switch (work) {
      case WorkBeside.None: return
      case WorkBeside.Reload:
        await fleet.changeSettings(box)
        box.process.signal('SIGHUP')
        return
      case WorkBeside.ChangeConfiguration: return fleet.publish()
      case WorkBeside.HoldUpPeer: return holdUp(peer, this.#drawMs(MIN_HOLD_UP_MS, MAX_HOLD_UP_MS))
    }
  }

  #drawMs (minMs: number, maxMs: number): number {
    return Math.round(minMs + this.#opts.random.nextFloat() * (maxMs - minMs))
  }
}

async function holdUp ({ process, pauses }: Pick<SoakBox, 'process' | 'pauses'>, durationMs: number): Promise<void> {
  const pause = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
  pauses.push(pause)
  process.signal('SIGSTOP')
  await sleep(durationMs)
  process.signal('SIGCONT')
  pause.toMs = performance.now()
}
