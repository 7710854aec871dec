import { hashOfPart } from '@reelspan/request.identity'

/** Prompt parts of a run, and where it runs. */
export interface RunParts {
  model: string
  /** As the caller sent them. */
  parts: readonly string[]
  /** Model or pool that the request was sent to, and the software version of the upstream. */
  targetVersion: string
}

/** A prompt part of runs of this box that did not crash their upstreams. */
export interface SoundPart {
  /** Hash of the part. */
  part: string
  targetVersion: string
  /** When a run with the part had last written for so long, by time written. Complete answers count as infinite. */
  lastMs: ReadonlyMap<number, number>
}

interface Entry extends Omit<SoundPart, 'part'> {
  model: string
  rawPart: string
  lastMs: Map<number, number>
  /** Computed when it is needed for the first time. */
  hash?: string
}

/** Some 300 bytes each. */
const MAX_PARTS = 2048

/** Remembers the prompt parts of this box's runs that did not crash their upstreams, without a hash or a message as long as nothing crashes. */
export class SoundParts {
  /** Ordered by the time of the last run. */
  readonly #entries = new Map<string, Entry>()

  /** Records that a run has written for `writtenMs`, or that its answer was complete. Returns a function that gives its parts. */
  record ({ model, parts, targetVersion }: RunParts, writtenMs: number, nowMs: number): () => SoundPart[] {
    const recorded = parts.map((rawPart) => {
      const key = `${targetVersion} ${model} ${rawPart}`
      const entry: Entry = this.#entries.get(key) ?? { model, rawPart, targetVersion, lastMs: new Map() }
      entry.lastMs.set(writtenMs, nowMs)
      this.#entries.delete(key)
      this.#entries.set(key, entry)
      if (this.#entries.size > MAX_PARTS) this.#entries.delete(this.#entries.keys().next().value as string)
      return entry
    })
    return () => recorded.map(toSoundPart)
  }

  all (): SoundPart[] {
    return [...this.#entries.values()].map(toSoundPart)
  }
}

function toSoundPart (entry: Entry): SoundPart {
  entry.hash ??= hashOfPart(entry.model, entry.rawPart)
  return { part: entry.hash, targetVersion: entry.targetVersion, lastMs: entry.lastMs }
}
