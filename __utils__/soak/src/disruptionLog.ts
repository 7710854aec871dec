import { type TimeInterval } from './timeInterval.js'

/** Whether the harness disrupts something by planned work or by a fault. Fewer guarantees hold under faults. */
export enum DisruptionKind {
  /** A stop by SIGTERM. */
  Planned = 'planned',
  Unplanned = 'unplanned',
  /** An engine is silent. */
  Silence = 'silence',
}

interface Disruption extends TimeInterval {
  kind: DisruptionKind
}

/** Subject of a disruption that affects all boxes. */
export const ALL_SUBJECTS = 'everything'

/** Records which subjects were disrupted and when. A subject is the front address of a box, the name of an upstream replica, or `ALL_SUBJECTS`. Times are on `performance.now()`. */
export class DisruptionLog {
  readonly #disruptions = new Map<string, Disruption[]>()

  /** Records the start of a disruption. The returned function records its end. */
  begin (subject: string, kind = DisruptionKind.Unplanned): () => void {
    const disruption = { fromMs: performance.now(), toMs: Number.POSITIVE_INFINITY, kind }
    this.#disruptionsOf(subject).push(disruption)
    return () => { disruption.toMs = Math.min(disruption.toMs, performance.now()) }
  }

  /** Records a disruption over a given interval, by default at the present moment. */
  record (subject: string, { fromMs, toMs }: TimeInterval = { fromMs: performance.now(), toMs: performance.now() }): void {
    this.#disruptionsOf(subject).push({ fromMs, toMs, kind: DisruptionKind.Unplanned })
  }

  /** Whether no disruption of the given kinds affected the subjects within an interval. */
  isUndisrupted (subjects: readonly string[], within: TimeInterval, kinds: readonly DisruptionKind[] = Object.values(DisruptionKind)): boolean {
    return [ALL_SUBJECTS, ...subjects].every((subject) => !this.wasDisrupted(subject, within, kinds))
  }

  /** Whether a disruption of the given kinds affected the subject itself within an interval. */
  wasDisrupted (subject: string, { fromMs, toMs }: TimeInterval, kinds: readonly DisruptionKind[]): boolean {
    return this.#disruptionsOf(subject).some((disruption) => kinds.includes(disruption.kind) && disruption.fromMs <= toMs && disruption.toMs >= fromMs)
  }

  #disruptionsOf (subject: string): Disruption[] {
    const disruptions = this.#disruptions.get(subject) ?? []
    this.#disruptions.set(subject, disruptions)
    return disruptions
  }
}
