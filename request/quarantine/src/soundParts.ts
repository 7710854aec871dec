import { hashOfPart } from '@reelspan/request.identity'

/** Prompt parts of a run, and where it runs. */
export interface RunParts {
  model: string
  /** As the caller sent them. */
  parts: readonly string[]
  /** Model or pool that the request was sent to, and the software version of the upstream. */
  targetVersion: string
}

/** A prompt part that was in a run of this box that did not crash its upstream. */
export interface SoundPart {
  /** Hash of the part. */
  part: string
  targetVersion: string
  lastMs: number
}

interface Entry extends Omit<SoundPart, 'part'> {
  model: string
  rawPart: string
  /** Computed when it is needed for the first time. */
  hash?: string
}

/** Some 200 bytes each. */
const MAX_PARTS = 2048

/** Remembers the prompt parts of this box's runs that did not crash their upstreams, without a hash or a message as long as nothing crashes. */
export class SoundParts {
  /** Ordered by the time of the last run. */
  readonly #entries = new Map<string, Entry>()

  /** Returns the entries of the run's parts. */
  record ({ model, parts, targetVersion }: RunParts, nowMs: number): Entry[] {
    return parts.map((rawPart) => {
      const key = `${targetVersion} ${model} ${rawPart}`
      const entry: Entry = this.#entries.get(key) ?? { model, rawPart, targetVersion, lastMs: nowMs }
      entry.lastMs = nowMs
      this.#entries.delete(key)
      this.#entries.set(key, entry)
      if (this.#entries.size > MAX_PARTS) this.#entries.delete(this.#entries.keys().next().value as string)
      return entry
    })
  }

  /** Parts with a run since `sinceMs`. */
  since (sinceMs: number): SoundPart[] {
    return [...this.#entries.values()].filter(({ lastMs }) => lastMs >= sinceMs).map(toSoundPart)
  }

  toSoundParts (entries: readonly Entry[]): SoundPart[] {
    return entries.map(toSoundPart)
  }
}

function toSoundPart (entry: Entry): SoundPart {
  entry.hash ??= hashOfPart(entry.model, entry.rawPart)
  return { part: entry.hash, targetVersion: entry.targetVersion, lastMs: entry.lastMs }
}
