import { type Clock } from '@reelspan/core.env'
import { type ServiceCall, type ServiceReply, UpstreamError } from '@reelspan/upstream.client'

export interface ServiceModelOptions {
  clock: Clock
  name: string
  workMs?: number
}

/** Simulates a service and counts how often each request ran. */
export class ServiceModel {
  readonly name: string
  /** Number of runs by request key. */
  readonly runs = new Map<string, number>()
  /** Faults that can be injected: a call runs but its answer is lost, or the answer carries another request's key. */
  readonly faults = { loseAnswers: false, crossAnswers: false }
  readonly #clock: Clock
  readonly #workMs: number

  constructor ({ clock, name, workMs = 20 }: ServiceModelOptions) {
    this.#clock = clock
    this.name = name
    this.#workMs = workMs
  }

  async call (call: ServiceCall): Promise<ServiceReply> {
    this.runs.set(call.requestKey, (this.runs.get(call.requestKey) ?? 0) + 1)
    await this.#clock.sleep(this.#workMs)
    if (this.faults.loseAnswers) throw new UpstreamError(`${this.name}: connection lost`, { mayHaveRun: true })
    return {
      requestKey: this.faults.crossAnswers ? 'another' : call.requestKey,
      status: 200,
      contentType: 'application/json',
      body: Buffer.from(JSON.stringify({ service: this.name, done: call.requestKey })),
    }
  }
}
