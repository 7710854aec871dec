import { type Random } from '@reelspan/core.env'

export enum PickerKind {
  Random = 'random',
  RoundRobin = 'roundRobin',
  LeastLoad = 'leastLoad',
  TwoChoices = 'twoChoices',
}

/** How an owner that places alone picks among engines. */
export abstract class EnginePicker {
  /**
   * Picks one of `engines`, which are not empty.
   *
   * @param loadOf the believed load, smaller is better
   */
  abstract pick<T> (engines: readonly T[], loadOf: (engine: T) => number): T
}

export class RandomPicker extends EnginePicker {
  readonly #random: Random

  constructor (random: Random) {
    super()
    this.#random = random
  }

  pick<T> (engines: readonly T[]): T {
    return engines[this.#random.nextInt(engines.length)]
  }
}

export class RoundRobinPicker extends EnginePicker {
  #next: number

  constructor (random: Random) {
    super()
    this.#next = random.nextInt(1000)
  }

  pick<T> (engines: readonly T[]): T {
    return engines[this.#next++ % engines.length]
  }
}

export class LeastLoadPicker extends EnginePicker {
  pick<T> (engines: readonly T[], loadOf: (engine: T) => number): T {
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

  pick<T> (engines: readonly T[], loadOf: (engine: T) => number): T {
    return this.#leastLoad.pick(this.#random.sample(engines, 2), loadOf)
  }
}

export function createEnginePicker (kind: PickerKind, random: Random): EnginePicker {
  switch (kind) {
    case PickerKind.Random: return new RandomPicker(random)
    case PickerKind.RoundRobin: return new RoundRobinPicker(random)
    case PickerKind.LeastLoad: return new LeastLoadPicker()
    case PickerKind.TwoChoices: return new TwoChoicesPicker(random)
  }
}
