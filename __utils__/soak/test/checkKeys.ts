import { checkKeys, type KeyHistory, REVOCATION_BOUND_MS } from '@reelspan/utils.soak'
import test from 'ava'

const PUBLICATIONS = [{ version: 1, path: '/1/', atMs: 1000 }, { version: 2, path: '/2/', atMs: 10_000 }]
const RUN = { id: 'key-0', instance: 'i', path: '/fetch/status/x', startedAtMs: 0, complete: true, answerLost: false, sentEvents: 0 }

function historyOf (overrides: Partial<KeyHistory>): KeyHistory {
  return { probes: [], runs: [], publications: PUBLICATIONS, received: [], staleReads: [], keys: ['secret'], accounts: ['callers'], ...overrides }
}

test('reports a run with a key that was revoked longer ago than the bound', (t) => {
  const probeAt = (sentAtMs: number) => historyOf({ probes: [{ id: 'key-0', version: 1, sentAtMs }], runs: [RUN] })
  t.deepEqual(checkKeys(probeAt(10_000 + REVOCATION_BOUND_MS)), [])
  t.regex(checkKeys(probeAt(10_001 + REVOCATION_BOUND_MS))[0], /ran with the key of version 1, 3001 ms after/)
  t.deepEqual(checkKeys({ ...probeAt(20_000), runs: [] }), [])
})

test('reports a key that reaches an upstream, and an upstream that is not told the account', (t) => {
  const receivedHead = { path: '/x', isRequest: true, accounts: ['callers'], hasKey: false, text: '' }
  t.deepEqual(checkKeys(historyOf({ received: [receivedHead, { ...receivedHead, isRequest: false, accounts: [] }] })), [])
  t.is(checkKeys(historyOf({ received: [{ ...receivedHead, hasKey: true }] })).length, 1)
  t.is(checkKeys(historyOf({ received: [{ ...receivedHead, text: 'X-Other\nsecret' }] })).length, 1)
  t.is(checkKeys(historyOf({ received: [{ ...receivedHead, accounts: [] }] })).length, 1)
  t.is(checkKeys(historyOf({ received: [{ ...receivedHead, accounts: ['callers', 'bank'] }] })).length, 1)
})

test('keys are not checked while the store may have served stale reads, nor within the bound after that', (t) => {
  const probeAt = (sentAtMs: number) => historyOf({ probes: [{ id: 'key-0', version: 1, sentAtMs }], runs: [RUN], staleReads: [{ fromMs: 10_000, toMs: 13_400 }] })
  t.deepEqual(checkKeys(probeAt(13_052)), [])
  t.deepEqual(checkKeys(probeAt(13_400 + REVOCATION_BOUND_MS)), [])
  t.is(checkKeys(probeAt(13_401 + REVOCATION_BOUND_MS)).length, 1)
})
