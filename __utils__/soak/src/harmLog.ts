import { type Stall } from './stallWatch.js'

/** What the harness did to something, by which it is judged what is promised then. */
export enum HarmKind {
  /** A stop that was asked for. */
  Planned = 'planned',
  Unplanned = 'unplanned',
}

interface Harm extends Stall {
  kind: HarmKind
}

/** Subject of harm to what all boxes use. */
export const EVERYTHING = 'everything'

/** Notes what was harmed and when, by subject: the front address of a box, the name of an upstream's place, or everything. Times are on `performance.now()`. */
export class HarmLog {
  readonly #harms = new Map<string, Harm[]>()

  /** Notes the begin of a harm. The function that it answers notes its end. */
  begin (subject: string, kind = HarmKind.Unplanned): () => void {
    const harm = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY, kind }
    this.#of(subject).push(harm)
    return () => { harm.toMs = Math.min(harm.toMs, performance.now()) }
  }

  /** Notes a harm of a known time, now without one. */
  note (subject: string, { fromMs, toMs }: Stall = { fromMs: performance.now(), toMs: performance.now() }): void {
    this.#of(subject).push({ fromMs, toMs, kind: HarmKind.Unplanned })
  }

  /** Whether nothing harmed the subjects, or everything, within a time. */
  isUnharmed (subjects: readonly string[], { fromMs, toMs }: Stall, kinds: readonly HarmKind[] = Object.values(HarmKind)): boolean {
    return [EVERYTHING, ...subjects].every((subject) => !this.#of(subject).some((harm) => kinds.includes(harm.kind) && harm.fromMs <= toMs && harm.toMs >= fromMs))
  }

  #of (subject: string): Harm[] {
    const harms = this.#harms.get(subject) ?? []
    this.#harms.set(subject, harms)
    return harms
  }
}
