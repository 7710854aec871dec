import { setTimeout as sleep } from 'node:timers/promises'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { Role } from '@reelspan/utils.platform-stand-ins'
import { DisruptionKind } from './disruptionLog.js'
import { drawOne } from './drawOne.js'
import { type SoakFleet } from './soakFleet.js'
import { type UpstreamReplica } from './soakMembers.js'
import { type TimeInterval } from './timeInterval.js'

/** An engine that read and wrote nothing while its connections stayed open. The end of a current one is infinity. */
export interface EngineSilence extends TimeInterval {
  instance: string
}

export interface SilenceInjectorOptions {
  fleet: SoakFleet
  random: SeededRandom
}

/** How many engines of a role are silent. */
enum Extent {
  One = 'one',
  Part = 'part',
  All = 'all',
}

/** Roles that are silent one after the other. */
const ROLE_SEQUENCES: Role[][][] = [
  [[Role.Decode]],
  [[Role.Prefill]],
  [[Role.Decode, Role.Prefill]],
  [[Role.Decode], [Role.Prefill]],
  [[Role.Prefill], [Role.Decode]],
]
const PART = 0.6
const SILENCE_MS = { least: 500, most: 3000 }
const MAX_LAG_MS = 1000
const PUBLISH_SHARE = 0.6
const MAX_PUBLISH_LEAD_MS = 800

/** Makes engines silent, one silence after the other, in part beside changes of the configuration. */
export class SilenceInjector {
  readonly silences: EngineSilence[] = []
  /** Descriptions of all silences so far, in order. */
  readonly log: string[] = []
  readonly #fleet: SoakFleet
  readonly #random: SeededRandom

  constructor ({ fleet, random }: SilenceInjectorOptions) {
    this.#fleet = fleet
    this.#random = random
  }

  /** Resolves once all engines go on. */
  async injectRandom (): Promise<void> {
    const random = this.#random
    const sequence = drawOne(random, ROLE_SEQUENCES)
    const extent = drawOne(random, Object.values(Extent))
    const durationMs = Math.round(SILENCE_MS.least + random.nextFloat() * (SILENCE_MS.most - SILENCE_MS.least))
    const lagMs = Math.round(random.nextFloat() * MAX_LAG_MS)
    const publishes = random.nextFloat() < PUBLISH_SHARE
    const publishLeadMs = Math.round(random.nextFloat() * MAX_PUBLISH_LEAD_MS)
    const chosen = sequence.map((roles) => roles.flatMap((role) => this.#choose(role, extent)))
    this.log.push(`${new Date().toISOString().slice(14, 23)} ${chosen.map((replicas) => replicas.map(({ instance }) => instance).join(', ')).join(`, then after ${lagMs} ms `)} silent for ${durationMs} ms${publishes ? `, ${publishLeadMs} ms after a change of the configuration` : ''}`)
    if (publishes) {
      this.#fleet.publish()
      await sleep(publishLeadMs)
    }
    await Promise.all(chosen.map(async (replicas, i) => {
      await sleep(i * lagMs)
      await Promise.all(replicas.map((replica) => this.#silence(replica, durationMs)))
    }))
  }

  #choose (role: Role, extent: Extent): UpstreamReplica[] {
    const ofRole = this.#fleet.replicas.filter((replica) => replica.role === role)
    const counts: Record<Extent, number> = { [Extent.One]: 1, [Extent.Part]: Math.ceil(PART * ofRole.length), [Extent.All]: ofRole.length }
    return this.#random.sample(ofRole, counts[extent])
  }

  async #silence ({ name, instance, upstream }: UpstreamReplica, durationMs: number): Promise<void> {
    const silence = { instance, fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY }
    this.silences.push(silence)
    const endDisruption = this.#fleet.disruptions.begin(name, DisruptionKind.Silence)
    upstream.pause()
    await sleep(durationMs)
    upstream.resume()
    endDisruption()
    silence.toMs = performance.now()
  }
}
