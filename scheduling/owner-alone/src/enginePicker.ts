import { type Random } from '@reelspan/core.env'
import { rankByRendezvous } from '@reelspan/core.hashing'

export enum PickerKind {
  Random = 'random',
  RoundRobin = 'roundRobin',
  LeastLoad = 'leastLoad',
  TwoChoices = 'twoChoices',
  PrefixHash = 'prefixHash',
}

/** Strategy by which an owner that places without a scheduler picks an engine. */
export abstract class EnginePicker {
  /**
   * Picks one of `engines`, which must not be empty.
   *
   * @param loadOf the estimated load; lower is better
   * @param prefix digest shared by requests whose prompts begin alike
   */
  abstract pick<T extends { name: string }> (engines: readonly T[], loadOf: (engine: T) => number, prefix: string): T
}

export class RandomPicker extends EnginePicker {
  readonly #random: Random

  constructor (random: Random) {
    super()
    this.#random = random
  }

  pick<T extends { name: string }> (engines: readonly T[]): T {
    return engines[this.#random.nextInt(engines.length)]
  }
}

export class RoundRobinPicker extends EnginePicker {
  #next: number

  constructor (random: Random) {
    super()
    this.#next = random.nextInt(1000)
  }

  pick<T extends { name: string }> (engines: readonly T[]): T {
    return engines[this.#next++ % engines.length]
  }
}

export class LeastLoadPicker extends EnginePicker {
  pick<T extends { name: string }> (engines: readonly T[], loadOf: (engine: T) => number): T {
    return engines.reduce((least, engine) => loadOf(engine) < loadOf(least) ? engine : least)
  }
}

export class TwoChoicesPicker extends EnginePicker {
  readonly #random: Random
  readonly #leastLoad = new LeastLoadPicker()

  constructor (random: Random) {
    super()
    this.#random = random
  }

  pick<T extends { name: string }> (engines: readonly T[], loadOf: (engine: T) => number): T {
    return this.#leastLoad.pick(this.#random.sample(engines, 2), loadOf)
  }
}

/**
 * Sends requests whose prompts begin alike to the same engine. If that engine has much
 * more load than the least loaded one, the next engine in rendezvous order is taken.
 * No index is needed, because every owner computes the same order.
 */
export class PrefixHashPicker extends EnginePicker {
  pick<T extends { name: string }> (engines: readonly T[], loadOf: (engine: T) => number, prefix: string): T {
    const least = Math.min(...engines.map(loadOf))
    const order = rankByRendezvous(prefix, engines, ({ name }) => name)
    return order.find((engine) => loadOf(engine) <= least + HASH_SPILL_LOAD) ?? order[0]
  }
}

/** A prefix spills to its next engine at this much more load than the least loaded engine has (ms of prefill, or slots). */
const HASH_SPILL_LOAD = 150

export function createEnginePicker (kind: PickerKind, random: Random): EnginePicker {
  switch (kind) {
    case PickerKind.Random: return new RandomPicker(random)
    case PickerKind.RoundRobin: return new RoundRobinPicker(random)
    case PickerKind.LeastLoad: return new LeastLoadPicker()
    case PickerKind.TwoChoices: return new TwoChoicesPicker(random)
    case PickerKind.PrefixHash: return new PrefixHashPicker()
  }
}
