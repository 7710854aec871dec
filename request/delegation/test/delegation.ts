import { setMaxListeners } from 'node:events'
import { AsyncQueue } from '@reelspan/core.env'
import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { AnswerEventKind, type DelegatedRequest, type DelegationTerms, type Member, MemberHealth, MessageType, type PeerCallOptions, PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { DelegatedRuns, type DelegatedRunner, Delegator, WINDOW_BYTES } from '@reelspan/request.delegation'
import { Metrics } from '@reelspan/telemetry.metrics'
import { type PausableSource } from '@reelspan/upstream.client'
import { FakeNetwork, SeededRandom, VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const OWN_ADDRESS = '10.0.0.1:1'
const TERMS = { deadlineMs: 5000, elapsedMs: 0, urgency: 5, attemptsUsed: 0, revision: 1 }

function requestOf (bodyBytes = 4): DelegatedRequest {
  return { id: 'r1', method: 'POST', host: 'a.example', target: '/a/', headers: [], body: new Uint8Array(bodyBytes), callerAddress: '10.9.0.1' }
}

function memberOf (n: number, over: Partial<Member> = {}): Member {
  return { name: `box-${n}`, availabilityZone: 'a', peerAddress: `10.0.1.${n}:1`, callerAddress: '', incarnation: `incarnation-${n}`, version: 0, health: MemberHealth.Alive, leaving: false, runsForOthers: true, ...over }
}

interface Setup {
  /** How each delegate runs requests. */
  runners: DelegatedRunner[]
  members?: readonly Member[]
  unavailable?: (n: number) => ReelspanError | undefined
  maxRuns?: number
}

/** A delegating box and delegates on a fake network. */
function createBoxes ({ runners, members = runners.map((_, i) => memberOf(i + 1)), unavailable = () => undefined, maxRuns = 10 }: Setup) {
  const clock = new VirtualClock()
  const network = new FakeNetwork({ clock, random: new SeededRandom(1) })
  const delegates = runners.map((run, i) => new DelegatedRuns({ run, unavailable: () => unavailable(i + 1), maxRuns, maxBodyBytes: 1000 }))
  delegates.forEach((delegate, i) => {
    network.addNode(members[i].peerAddress).link.serve({
      onCall: async (message) => {
        if (message.type === MessageType.DelegatedRead) delegate.recordRead(message.runId, message.totalBytes)
        return { type: MessageType.Done }
      },
      onStream: async function * (message, signal): AsyncGenerator<PeerMessage> {
        if (message.type !== MessageType.Delegate) throw new Error('unexpected')
        for await (const event of delegate.run(message.request, message.terms, signal)) yield { type: MessageType.DelegatedEvent, event }
      },
    })
  })
  const delegator = new Delegator({
    random: new SeededRandom(2),
    link: network.addNode(OWN_ADDRESS).link,
    metrics: new Metrics(),
    self: () => ({ name: 'own', incarnation: 'own', availabilityZone: 'a' }),
    isNeeded: () => true,
    delegates: () => members,
  })
  const asked: string[] = []
  const stop = new AbortController()
  setMaxListeners(0, stop.signal)
  const received = { status: 0, text: '', sent: [] as string[] }
  const run = (terms: Partial<DelegationTerms> = {}, onData?: () => Promise<void>) => delegator.run(
    { request: requestOf(), terms: { ...TERMS, ...terms }, signal: stop.signal, onAsked: ({ name }) => asked.push(name) },
    {
      onSent: (upstream) => received.sent.push(upstream),
      onHead: (status) => { received.status = status },
      onData: async (bytes) => {
        received.text += Buffer.from(bytes).toString()
        await onData?.()
      },
    }
  )
  return { clock, network, delegates, delegator, asked, received, run, stop }
}

const answer: DelegatedRunner = async (_request, _terms, caller) => {
  caller.recordSent('i-1', '')
  caller.begin(200, [])
  await caller.write(Buffer.from('answer'))
  caller.finish()
}

const refuse = (code: ErrorCode, verdict: Verdict): DelegatedRunner => async (_request, _terms, caller) =>
  caller.refuse({ kind: AnswerEventKind.Final, verdict, code, message: code, retryAfterMs: 700, eventCount: 0 })

test('a delegate\'s answer is passed on with the upstream that it was sent to', async (t) => {
  const { clock, run, received, delegates, delegator } = createBoxes({ runners: [answer] })
  await clock.run(run())
  t.deepEqual(received, { status: 200, text: 'answer', sent: ['i-1'] })
  t.is(delegator.inFlight, 0)
  await clock.advance(10)
  t.is(delegates[0].size, 0)
})

test('another delegate is asked if the first one has not run the request for a reason of its own', async (t) => {
  for (const code of [ErrorCode.Draining, ErrorCode.NotReady, ErrorCode.NoUpstream, ErrorCode.UpstreamFailed]) {
    const { clock, run, received, asked } = createBoxes({ runners: [refuse(code, Verdict.NotRun), refuse(code, Verdict.NotRun), answer] })
    for (let i = 0; i < 3 && received.status === 0; i++) await clock.run(run().catch(() => {}))
    t.is(received.text, 'answer')
    t.is(new Set(asked).size, asked.length)
  }
})

test('a refusal that any delegate would give is passed on with its retry delay', async (t) => {
  const { clock, run, asked } = createBoxes({ runners: [refuse(ErrorCode.Overloaded, Verdict.NotRun), refuse(ErrorCode.Overloaded, Verdict.NotRun)] })
  const error = await clock.run(t.throwsAsync<ReelspanError>(run(), { instanceOf: ReelspanError }))
  t.like(error, { code: ErrorCode.Overloaded, verdict: Verdict.NotRun, retryAfterMs: 700 })
  t.is(asked.length, 1)
})

test('no other delegate is asked if the request may have run', async (t) => {
  const { clock, run, asked, network } = createBoxes({ runners: [refuse(ErrorCode.UpstreamFailed, Verdict.MayHaveRun), answer] })
  for (const n of [1, 2]) network.block(`10.0.1.${n}:1`, OWN_ADDRESS)
  const error = await clock.run(t.throwsAsync<ReelspanError>(run(), { instanceOf: ReelspanError }))
  t.is(error?.verdict, Verdict.MayHaveRun)
  t.is(asked.length, 1)
})

test('a full delegate and one without paths refuse at once, and others are asked', async (t) => {
  const lost = new ReelspanError(ErrorCode.NotReady, 'lost', { verdict: Verdict.NotRun })
  const { clock, run, received, asked } = createBoxes({ runners: [answer, answer, answer], unavailable: (n) => n < 3 ? lost : undefined })
  await clock.run(run())
  t.is(received.text, 'answer')
  t.is(asked.at(-1), 'box-3')
  const waiting: DelegatedRunner = (_request, _terms, caller) => new Promise((resolve) => caller.signal.addEventListener('abort', () => resolve()))
  const full = createBoxes({ runners: [waiting], maxRuns: 1 })
  const first = full.run().catch(() => {})
  await full.clock.advance(10)
  const error = await full.clock.run(t.throwsAsync<ReelspanError>(full.run(), { instanceOf: ReelspanError }))
  t.like(error, { verdict: Verdict.NotRun })
  t.true((error?.retryAfterMs ?? 0) > 0)
  full.stop.abort()
  await full.clock.run(first)
})

test('requests are spread over the delegates by their room, with a preference for the own availability zone', async (t) => {
  const waiting: DelegatedRunner = (_request, _terms, caller) => new Promise((resolve) => caller.signal.addEventListener('abort', () => resolve()))
  const members = [memberOf(1), memberOf(2, { room: 2 }), memberOf(3, { availabilityZone: 'b' })]
  const { clock, run, asked, stop } = createBoxes({ runners: [waiting, waiting, waiting], members, maxRuns: 100 })
  const runs = Array.from({ length: 38 }, () => run().catch(() => {}))
  await clock.advance(10)
  const count = (name: string) => asked.filter((one) => one === name).length
  t.true(Math.abs(count('box-1') - 10) <= 1, `${count('box-1')}`)
  t.true(Math.abs(count('box-2') - 20) <= 1, `${count('box-2')}`)
  t.true(Math.abs(count('box-3') - 8) <= 1, `${count('box-3')}`)
  stop.abort()
  await clock.run(Promise.all(runs))
})

test('a caller that disconnects ends the run at the delegate', async (t) => {
  const ended = new AsyncQueue<number>()
  const { clock, run, delegates, stop } = createBoxes({
    runners: [async (_request, _terms, caller) => {
      await new Promise<void>((resolve) => caller.signal.addEventListener('abort', () => resolve()))
      ended.push(1)
    }]
  })
  const running = run().catch(() => {})
  await clock.advance(20)
  t.is(delegates[0].size, 1)
  stop.abort()
  await clock.run(running)
  await clock.advance(20)
  t.is(ended.received, 1)
  t.is(delegates[0].size, 0)
})

test('a delegate pauses the upstream and keeps at most a window of an answer that is not read', async (t) => {
  const paused: boolean[] = []
  const source: PausableSource = { pause: () => paused.push(true), resume: () => paused.push(false) }
  const chunk = new Uint8Array(WINDOW_BYTES / 8)
  let written = 0
  let readOn = () => {}
  const reading = new Promise<void>((resolve) => { readOn = resolve })
  const { clock, run, received } = createBoxes({
    runners: [async (_request, _terms, caller) => {
      caller.buffer.attach(source)
      caller.begin(200, [])
      for (let i = 0; i < 32; i++) {
        await caller.write(chunk)
        written += chunk.byteLength
      }
      caller.finish()
    }]
  })
  const running = run({}, () => reading)
  await clock.advance(100)
  t.true(written < WINDOW_BYTES)
  t.deepEqual(paused, [true])
  readOn()
  await clock.run(running)
  t.is(received.text.length, 32 * chunk.byteLength)
  t.is(paused.at(-1), false)
})

test('a delegate whose process exits leaves a request that may have run', async (t) => {
  const { clock, run, network } = createBoxes({
    runners: [async (_request, _terms, caller) => {
      caller.recordSent('i-1', '')
      await new Promise(() => {})
    }]
  })
  const running = t.throwsAsync<ReelspanError>(run(), { instanceOf: ReelspanError })
  await clock.advance(20)
  network.kill('10.0.1.1:1')
  t.is((await clock.run(running))?.verdict, Verdict.MayHaveRun)
})

/** Records the options of a stream, which fails. */
class FailingLink extends PeerLink {
  opts?: PeerCallOptions

  async call (): Promise<PeerMessage> {
    return { type: MessageType.Done }
  }

  async * stream (address: string, _message: PeerMessage, opts: PeerCallOptions): AsyncGenerator<PeerMessage> {
    this.opts = opts
    throw new PeerLinkError(`${address} is unresponsive`, { mayHaveArrived: true })
  }

  serve (): void {}

  async close (): Promise<void> {}
}

test('a delegate that is unresponsive is given up only if another one may run the request', async (t) => {
  const isGivenUp = async (delegates: Member[], mayRunElsewhere?: () => boolean) => {
    const link = new FailingLink()
    const delegator = new Delegator({ random: new SeededRandom(2), link, metrics: new Metrics(), self: () => ({ name: 'own', incarnation: 'own', availabilityZone: 'a' }), isNeeded: () => true, delegates: () => delegates })
    const request = { request: requestOf(), terms: TERMS, signal: new AbortController().signal, onAsked: () => {}, mayRunElsewhere }
    await t.throwsAsync(delegator.run(request, { onSent: () => {}, onHead: () => {}, onData: async () => {} }), { instanceOf: PeerLinkError })
    const failIfUnresponsive = link.opts?.failIfUnresponsive
    return typeof failIfUnresponsive === 'function' ? failIfUnresponsive() : failIfUnresponsive
  }
  const two = [memberOf(1), memberOf(2)]
  t.deepEqual([await isGivenUp(two), await isGivenUp(two, () => true)], [true, true])
  t.deepEqual([await isGivenUp(two, () => false), await isGivenUp([memberOf(1)])], [false, false])
})
