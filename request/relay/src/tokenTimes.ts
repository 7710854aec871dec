/** Latest answers that are kept per model. */
const MAX_ANSWERS = 32

/** Times between tokens of recent answers by model, as this box passed them on. */
export class TokenTimes {
  readonly #tokenMs = new Map<string, number[]>()

  record (model: string, tokenMs: number): void {
    if (tokenMs > 0) this.#tokenMs.set(model, [...this.#tokenMs.get(model) ?? [], tokenMs].slice(-MAX_ANSWERS))
  }

  /** The shortest of them, since a request may be placed on the fastest engine; undefined if no answer of the model has ended. */
  shortestMs (model: string): number | undefined {
    const known = this.#tokenMs.get(model)
    return known && Math.min(...known)
  }

  retain (isConfigured: (model: string) => boolean): void {
    [...this.#tokenMs.keys()].filter((model) => !isConfigured(model)).forEach((model) => this.#tokenMs.delete(model))
  }
}
