import { type AdmissionRequest, type Admitted, type BoxAdmission } from '@reelspan/accounts.admission'
import { ErrorCode, ReelspanError, Verdict } from '@reelspan/core.error'
import { PlacementOutcome } from '@reelspan/core.messages'
import test from 'ava'
import { answers, aborts, createRelay, RecordingCaller, refuses, requestTo } from './__utils__/createRelay.js'

/** Admits every request for one account, or refuses it. */
class RecordingAdmission implements BoxAdmission {
  readonly usesAccounts = true
  readonly hasFreshProof = true
  readonly requests: AdmissionRequest[] = []
  releaseCount = 0
  refusal?: ReelspanError

  async admit (request: AdmissionRequest): Promise<Admitted> {
    this.requests.push(request)
    if (this.refusal) throw this.refusal
    return { account: 'bank', urgency: 0, releaseCost: () => { this.releaseCount++ } }
  }
}

test('every attempt sends the account to the upstream', async (t) => {
  const admission = new RecordingAdmission()
  const { clock, relay, upstreams } = createRelay([refuses(), answers(200, 'script')], { admission })
  await clock.run(relay.relay(requestTo('/fetch/1'), new RecordingCaller()))
  t.deepEqual(upstreams.runs.map(({ request }) => request.account), ['bank', 'bank'])
  t.is(admission.releaseCount, 0)
})

test('a stream that is resumed elsewhere keeps its account and urgency', async (t) => {
  const admission = new RecordingAdmission()
  const { clock, relay, upstreams, placer } = createRelay([aborts(200, ['id: 0\ndata: a\n\n']), answers(200, 'id: 1\ndata: b\n\n')], { admission })
  await clock.run(relay.relay(requestTo('/reply/1'), new RecordingCaller()))
  t.deepEqual(upstreams.runs.map(({ request, opts }) => [request.account, opts.urgency]), [['bank', 0], ['bank', 0]])
  t.true(placer.requests.every(({ priority, client }) => priority === 0 && client === 'bank'))
})

test('admission is decided before a request is placed or sent', async (t) => {
  const admission = new RecordingAdmission()
  admission.refusal = new ReelspanError(ErrorCode.AccountKey, 'no client account has this key')
  const { clock, relay, upstreams, placer } = createRelay([], { admission })
  const caller = new RecordingCaller()
  await clock.run(relay.relay(requestTo('/draft/1', { keyDigest: 'd' }), caller))
  t.like(caller.refused, { code: ErrorCode.AccountKey, verdict: Verdict.NotRun })
  t.deepEqual([upstreams.runs.length, upstreams.prefills.length, placer.requests.length], [0, 0, 0])
  t.like(admission.requests[0], { keyDigest: 'd', sizeTokens: 1100, open: false })
})

test('the account is refunded for a request that has not run', async (t) => {
  const admission = new RecordingAdmission()
  const { clock, relay, placer } = createRelay([], { admission })
  placer.refusal = { outcome: PlacementOutcome.Refused, reason: 'full', retryAfterMs: 100 }
  await clock.run(relay.relay(requestTo('/draft/1'), new RecordingCaller()))
  t.is(admission.releaseCount, 1)
})
