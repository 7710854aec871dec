import { Access, decideAccess, keyDigest, readBearerKeyDigest } from '@reelspan/accounts.keys'
import { checkResources, ResourceKind } from '@reelspan/config.resources'
import test from 'ava'

function configurationOf (accounts: Record<string, string[]>) {
  const declared = Object.entries(accounts).map(([name, keys]) => ({ kind: ResourceKind.Account, name, revision: 1, spec: { keyDigests: keys.map(keyDigest) } }))
  return checkResources(declared, 1)
}

const { configuration } = configurationOf({ bank: ['k1', 'k2'], telecom: ['k3'] })
const { configuration: none } = configurationOf({})
const ask = { configuration, required: true, open: false, hasFreshProof: true }

test('a key identifies its account', (t) => {
  t.is(decideAccess({ ...ask, keyDigest: keyDigest('k2') }).account?.name, 'bank')
  t.is(decideAccess({ ...ask, keyDigest: keyDigest('k3') }).account?.name, 'telecom')
})

test('a request without a key is accepted on open routes only', (t) => {
  t.is(decideAccess(ask).access, Access.KeyMissing)
  t.is(decideAccess({ ...ask, open: true }).access, Access.Anonymous)
})

test('an unknown key is refused, on open routes too', (t) => {
  t.is(decideAccess({ ...ask, keyDigest: keyDigest('k4') }).access, Access.KeyUnknown)
  t.is(decideAccess({ ...ask, keyDigest: keyDigest('k4'), open: true }).access, Access.KeyUnknown)
})

test('without a freshness proof no key is accepted, known or not, and open routes still accept requests without a key', (t) => {
  t.is(decideAccess({ ...ask, hasFreshProof: false, keyDigest: keyDigest('k1') }).access, Access.Unproved)
  t.is(decideAccess({ ...ask, hasFreshProof: false, keyDigest: keyDigest('k4') }).access, Access.Unproved)
  t.is(decideAccess({ ...ask, hasFreshProof: false, open: true }).access, Access.Anonymous)
})

test('a configuration that lost all accounts admits no requests if accounts are required', (t) => {
  t.is(decideAccess({ ...ask, configuration: none }).access, Access.KeyMissing)
  t.is(decideAccess({ ...ask, configuration: none, keyDigest: keyDigest('k1') }).access, Access.Unproved)
})

test('keys are ignored if no account is declared and none is required', (t) => {
  t.is(decideAccess({ ...ask, required: false, configuration: none, hasFreshProof: false, keyDigest: keyDigest('k1') }).access, Access.Anonymous)
})

test('a key is read from a single bearer header only', (t) => {
  t.is(readBearerKeyDigest([]), undefined)
  t.is(readBearerKeyDigest(['bearer  k1']), keyDigest('k1'))
  t.is(readBearerKeyDigest(['Bearer k1', 'Bearer k2']), '')
  t.is(readBearerKeyDigest(['Basic azE6']), '')
  t.is(readBearerKeyDigest(['Bearer']), '')
})

test('two accounts cannot have the same key', (t) => {
  t.deepEqual(configurationOf({ bank: ['k1'], telecom: ['k1'] }).problems.map(({ field }) => field), ['spec.keyDigests'])
})

test('a key declared instead of its digest is refused with the field name, and the message does not contain the key', (t) => {
  const { problems: [{ field, message }] } = checkResources([{ kind: ResourceKind.Account, name: 'bank', revision: 1, spec: { keyDigests: ['a-key-in-clear'] } }], 1)
  t.is(field, 'spec.keyDigests.0')
  t.notRegex(message, /a-key-in-clear/)
})
