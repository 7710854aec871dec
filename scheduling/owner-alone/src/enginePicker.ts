import { type Random } from '@reelspan/core.env'
import { rankByRendezvous } from '@reelspan/core.hashing'

export enum PickerKind {
  Random = 'random',
  RoundRobin = 'roundRobin',
  LeastLoad = 'leastLoad',
  TwoChoices = 'twoChoices',
  PrefixHash = 'prefixHash',
}

/** How an owner that places alone picks among engines. */
export abstract class EnginePicker {
  /**
   * Picks one of `engines`, which are not empty.
   *
   * @param loadOf the believed load, smaller is better
   * @param prefix digest that requests with the same beginning share
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
 * Sends requests with the same beginning to the same engine, and to the next
 * one in its order while that one has much more to do than the least loaded.
 * It needs no index: every owner computes the same order.
 */
export class PrefixHashPicker extends EnginePicker {
  pick<T extends { name: string }> (engines: readonly T[], loadOf: (engine: T) => number, prefix: string): T {
    const least = Math.min(...engines.map(loadOf))
    const order = rankByRendezvous(prefix, engines, ({ name }) => name)
    return order.find((engine) => loadOf(engine) <= least + HASH_SPILL_LOAD) ?? order[0]
  }
}

/** Load over the least loaded engine (ms of prefill, or places) at which a prefix spills to its next engine. */
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
