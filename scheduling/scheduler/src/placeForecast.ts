import { type StreamDurations } from './streamDurations.js'

/** A stream that takes room on a decode engine. */
export interface RunningStream {
  /** Part of the engine that it takes. */
  fill: number
  /** How long it has run; negative before it begins. */
  ageMs: number
}

/** What a decode engine has now. */
export interface EngineRoom {
  /** Part of it that is free; negative when more is on it than fits. */
  free: number
  streams: readonly RunningStream[]
}

export interface PlaceForecastOptions {
  engines: readonly EngineRoom[]
  /** The part of an engine that the next requests take. */
  fill: number
  /** From one prompt to the next that the engines together can compute. */
  msPerPrompt: number
  durations: Pick<StreamDurations, 'endedShare'>
}

/** Times are told in steps of this: a fraction of what callers wait for a first token. */
const STEP_MS = 50
/** Callers give a stream up that has not begun some three seconds after they asked. */
const IN_SIGHT_MS = 3000
const TIMES_MS = Array.from({ length: IN_SIGHT_MS / STEP_MS + 1 }, (_, i) => i * STEP_MS)
/** A place counts as free from when that is more likely than not. */
const HALF_A_PLACE = 0.5

/**
 * When places on the decode engines of a shard become free: by how many of the streams
 * that run will have ended by then, if they last as long as others did that got as old.
 */
export class PlaceForecast {
  /** Places that are free after each of the times, on average. */
  readonly #places: readonly number[]
  readonly #msPerPrompt: number

  constructor ({ engines, fill, msPerPrompt, durations }: PlaceForecastOptions) {
    const roomAt = (afterMs: number) => engines.reduce((sum, engine) => sum + roomOf(engine, afterMs, durations), 0)
    this.#places = TIMES_MS.map((afterMs) => roomAt(afterMs) / fill)
    this.#msPerPrompt = msPerPrompt
  }

  /** Time until so many requests have been placed; infinite when no stream is seen to end. */
  timeOf (places: number): number {
    return Math.max(this.#placeInMs(places - HALF_A_PLACE), places * this.#msPerPrompt)
  }

  /** What comes after all that is in sight comes as fast as that does on average. */
  #placeInMs (places: number): number {
    const at = this.#places.findIndex((known) => known >= places)
    if (at >= 0) return TIMES_MS[at]
    const [now] = this.#places
    const last = this.#places[this.#places.length - 1]
    return last > now ? IN_SIGHT_MS * (places - now) / (last - now) : Number.POSITIVE_INFINITY
  }
}

/** Part of an engine that is free after a time. What is too much on it now must end first. */
function roomOf ({ free, streams }: EngineRoom, afterMs: number, durations: Pick<StreamDurations, 'endedShare'>): number {
  const freed = streams.reduce((sum, { fill, ageMs }) => sum + fill * durations.endedShare(ageMs, afterMs), 0)
  return Math.max(0, free + freed)
}
