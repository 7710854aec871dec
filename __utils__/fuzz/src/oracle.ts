import { type FakeFleet, type Outcome } from '@reelspan/utils.fake-fleet'
import { expectedAnswer } from '@reelspan/utils.fakes'
import { Verdict } from '@reelspan/core.error'
import { type CompletionRequest, RequestKind, type ServiceRequest } from '@reelspan/core.messages'

/** A request that callers sent once or several times. */
export interface SentRequest {
  id: string
  request: CompletionRequest | ServiceRequest
  /** Aborted to close the callers' connections. */
  gone: AbortController
  outcomes: Outcome[]
  /** Number of attempts without an outcome yet. */
  waiting: number
}

/** Checks the guarantees that boxes give, from the requests sent, their outcomes, and the highest revision seen at each box. */
export class Oracle {
  readonly sent: SentRequest[] = []
  readonly #revisions = new Map<object, number>()
  readonly #fleet: FakeFleet

  constructor (fleet: FakeFleet) {
    this.#fleet = fleet
  }

  /** Sends a request to a box and records its outcome. An answer «not run» is checked when it arrives. */
  send (entry: SentRequest, boxName: string): void {
    entry.waiting++
    void this.#fleet.send(boxName, entry.request, entry.gone.signal).then((outcome) => {
      entry.waiting--
      entry.outcomes.push(outcome)
      if (outcome.verdict === Verdict.NotRun && this.runsOf(entry) > 0) throw new Error(`${entry.id}: answered «not run» after it ran`)
    }).catch((thrown) => this.failures.push(String(thrown)))
  }

  readonly failures: string[] = []

  /** Number of times that upstreams started to run a request. */
  runsOf ({ id, request }: SentRequest): number {
    if (request.kind === RequestKind.Service) return this.#fleet.serviceRuns(request.key)
    return this.#fleet.allEngines().flatMap(({ prefillRuns }) => prefillRuns).filter((run) => run === id).length
  }

  /** Checks what must hold at all times. */
  checkInvariants (): void {
    if (this.failures.length > 0) throw new Error(this.failures[0])
    this.#fleet.liveBoxes().forEach((box) => {
      const { revision } = box.box.configuration
      const before = this.#revisions.get(box) ?? 0
      if (revision < before) throw new Error(`${box.name}: revision fell from ${before} to ${revision}`)
      this.#revisions.set(box, revision)
    })
    this.sent.filter(({ request }) => request.notRepeatable).forEach((entry) => {
      const runs = this.runsOf(entry)
      if (runs > 1) throw new Error(`${entry.id}: ran ${runs} times and may run once`)
    })
  }

  /** Checks what must hold once all activity has ended. */
  checkQuiescent (): void {
    this.checkInvariants()
    this.sent.forEach((entry) => this.#checkAnswers(entry))
    const holds = this.#fleet.holds()
    if (holds.length > 0) throw new Error(`holds without a request: ${holds.map(({ engine, kind, label }) => `${engine} ${kind} ${label.requestId}`).join(', ')}`)
  }

  #checkAnswers (entry: SentRequest): void {
    if (entry.waiting > 0) throw new Error(`${entry.id}: ${entry.waiting} callers still waiting`)
    const finished = entry.outcomes.filter(({ verdict }) => verdict === Verdict.Finished)
    const isExpected = this.#answerMatcher(entry)
    finished.forEach(({ text }) => {
      if (!isExpected(text)) throw new Error(`${entry.id}: got an answer that is incomplete or belongs to another request: ${text.slice(0, 80)}`)
    })
    if (new Set(finished.map(({ text }) => text)).size > 1) throw new Error(`${entry.id}: got two different answers`)
  }

  #answerMatcher ({ request }: SentRequest): (text: string) => boolean {
    if (request.kind === RequestKind.Completion) return (text) => text === expectedAnswer(request.prompt, request.maxTokens)
    return (text) => text.includes(request.key)
  }
}
