import { type FakeFleet, type Outcome } from '@reelspan/utils.fake-fleet'
import { expectedAnswer } from '@reelspan/utils.fakes'
import { Verdict } from '@reelspan/core.error'
import { type CompletionRequest, RequestKind, type ServiceRequest } from '@reelspan/core.messages'

/** A request that a caller sent, perhaps several times. */
export interface SentRequest {
  id: string
  request: CompletionRequest | ServiceRequest
  /** Ends the caller's connections. */
  gone: AbortController
  outcomes: Outcome[]
  waiting: number
}

/** All that the oracle knows: what was sent, what was answered, and the highest revision seen at each box. */
export class Oracle {
  readonly sent: SentRequest[] = []
  readonly #revisions = new Map<object, number>()
  readonly #fleet: FakeFleet

  constructor (fleet: FakeFleet) {
    this.#fleet = fleet
  }

  /** Sends a request through a box and notes its outcome, checking at once what must hold at that moment. */
  send (one: SentRequest, boxName: string): void {
    one.waiting++
    void this.#fleet.send(boxName, one.request, one.gone.signal).then((outcome) => {
      one.waiting--
      one.outcomes.push(outcome)
      if (outcome.verdict === Verdict.NotRun && this.runsOf(one) > 0) throw new Error(`${one.id}: answered «not run» after it ran`)
    }).catch((thrown) => this.failures.push(String(thrown)))
  }

  readonly failures: string[] = []

  /** Times that upstreams began a request. */
  runsOf ({ id, request }: SentRequest): number {
    if (request.kind === RequestKind.Service) return this.#fleet.serviceRuns(request.key)
    return this.#fleet.allEngines().flatMap(({ prefillRuns }) => prefillRuns).filter((run) => run === id).length
  }

  /** What must hold at every moment. */
  checkAlways (): void {
    if (this.failures.length > 0) throw new Error(this.failures[0])
    this.#fleet.liveBoxes().forEach((box) => {
      const { revision } = box.box.configuration
      const before = this.#revisions.get(box) ?? 0
      if (revision < before) throw new Error(`${box.name}: revision fell from ${before} to ${revision}`)
      this.#revisions.set(box, revision)
    })
    this.sent.filter(({ request }) => request.notRepeatable).forEach((one) => {
      const runs = this.runsOf(one)
      if (runs > 1) throw new Error(`${one.id}: ran ${runs} times and may run once`)
    })
  }

  /** What must hold once everything has come to rest. */
  checkAtRest (): void {
    this.checkAlways()
    this.sent.forEach((one) => this.#checkAnswers(one))
    const holds = this.#fleet.holds()
    if (holds.length > 0) throw new Error(`held for nobody: ${holds.map(({ engine, kind, label }) => `${engine} ${kind} ${label.requestId}`).join(', ')}`)
  }

  #checkAnswers (one: SentRequest): void {
    if (one.waiting > 0) throw new Error(`${one.id}: ${one.waiting} callers still wait`)
    const finished = one.outcomes.filter(({ verdict }) => verdict === Verdict.Finished)
    const expected = this.#expected(one)
    finished.forEach(({ text }) => {
      if (!expected(text)) throw new Error(`${one.id}: got an answer that is not whole or not its own: ${text.slice(0, 80)}`)
    })
    if (new Set(finished.map(({ text }) => text)).size > 1) throw new Error(`${one.id}: got two different answers`)
  }

  #expected ({ request }: SentRequest): (text: string) => boolean {
    if (request.kind === RequestKind.Completion) return (text) => text === expectedAnswer(request.prompt, request.maxTokens)
    return (text) => text.includes(request.key)
  }
}
