import { RequestKind, type ServiceRequest } from '@reelspan/core.messages'
import { identityOfRelayed, identityOfRouted } from '@reelspan/request.identity'
import { type RelayedRequest } from '@reelspan/upstream.client'
import test from 'ava'

const RELAYED: RelayedRequest = {
  id: 'a',
  method: 'POST',
  host: 'drafts.example',
  target: '/draft/1',
  headers: ['Host', 'drafts.example', 'Attempt', '1'],
  body: Buffer.from('brief'),
  prompt: { model: 'm', promptTokens: 1000, maxTokens: 100, expectedTokens: 40, prefixes: [{ digest: 'shared', tokens: 200 }, { digest: 'own', tokens: 1000 }] },
  callerAddress: '10.9.0.1',
}

const CALL: ServiceRequest = { kind: RequestKind.Service, key: 'k1', route: 'desk', client: 'bank', notRepeatable: true, deadlineMs: 1000, method: 'POST', path: '/book', body: Buffer.from('ride') }

test('attempts of one request have the same identity, whatever their ids, headers and estimates', (t) => {
  const retried = { ...RELAYED, id: 'b', headers: [], prompt: { ...RELAYED.prompt, expectedTokens: 90 } as RelayedRequest['prompt'], resumeAfter: '7' }
  t.deepEqual(identityOfRelayed(retried), identityOfRelayed(RELAYED))
  t.deepEqual(identityOfRouted({ ...CALL, key: 'k2', deadlineMs: 5 }), identityOfRouted(CALL))
})

test('a different path, body, prompt or host changes the content hash and keeps the caller hash', (t) => {
  const { content, caller } = identityOfRelayed(RELAYED)
  const others = [
    { target: '/draft/2' },
    { host: 'other.example' },
    { method: 'PUT' },
    { body: Buffer.from('another brief') },
    { prompt: undefined },
  ].map((over) => identityOfRelayed({ ...RELAYED, ...over }))
  t.is(new Set([content, ...others.map((other) => other.content)]).size, 1 + others.length)
  t.deepEqual([...new Set(others.map((other) => other.caller))], [caller])
})

test('a different caller changes the caller hash and keeps the content hash', (t) => {
  const other = identityOfRelayed({ ...RELAYED, callerAddress: '10.9.0.2' })
  t.is(other.content, identityOfRelayed(RELAYED).content)
  t.not(other.caller, identityOfRelayed(RELAYED).caller)
  t.not(identityOfRouted({ ...CALL, client: 'telecom' }).caller, identityOfRouted(CALL).caller)
})

test('adjacent parts are hashed separately', (t) => {
  t.not(identityOfRelayed({ ...RELAYED, host: 'a', target: 'b/c' }).content, identityOfRelayed({ ...RELAYED, host: 'ab', target: '/c' }).content)
})
