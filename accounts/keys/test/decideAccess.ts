import { Access, decideAccess, keyDigest, readBearerKey } from '@reelspan/accounts.keys'
import { checkResources, ResourceKind } from '@reelspan/config.resources'
import test from 'ava'

function configurationOf (accounts: Record<string, string[]>) {
  const declared = Object.entries(accounts).map(([name, keys]) => ({ kind: ResourceKind.Account, name, revision: 1, spec: { keyDigests: keys.map(keyDigest) } }))
  return checkResources(declared, 1)
}

const { configuration } = configurationOf({ bank: ['k1', 'k2'], telecom: ['k3'] })
const { configuration: none } = configurationOf({})
const ask = { configuration, required: true, open: false, proved: true }

test('a key names the account that has it', (t) => {
  t.is(decideAccess({ ...ask, keyDigest: keyDigest('k2') }).account?.name, 'bank')
  t.is(decideAccess({ ...ask, keyDigest: keyDigest('k3') }).account?.name, 'telecom')
})

test('a request without a key is taken on open routes alone', (t) => {
  t.is(decideAccess(ask).access, Access.KeyMissing)
  t.is(decideAccess({ ...ask, open: true }).access, Access.Anonymous)
})

test('a key that no account has is refused, on open routes too', (t) => {
  t.is(decideAccess({ ...ask, keyDigest: keyDigest('k4') }).access, Access.KeyUnknown)
  t.is(decideAccess({ ...ask, keyDigest: keyDigest('k4'), open: true }).access, Access.KeyUnknown)
})

test('without proof no key is taken, known or not, and open routes go on', (t) => {
  t.is(decideAccess({ ...ask, proved: false, keyDigest: keyDigest('k1') }).access, Access.Unproved)
  t.is(decideAccess({ ...ask, proved: false, keyDigest: keyDigest('k4') }).access, Access.Unproved)
  t.is(decideAccess({ ...ask, proved: false, open: true }).access, Access.Anonymous)
})

test('a configuration that lost all accounts opens nothing where they are required', (t) => {
  t.is(decideAccess({ ...ask, configuration: none }).access, Access.KeyMissing)
  t.is(decideAccess({ ...ask, configuration: none, keyDigest: keyDigest('k1') }).access, Access.Unproved)
})

test('where no account is declared and none is required, keys mean nothing', (t) => {
  t.is(decideAccess({ ...ask, required: false, configuration: none, proved: false, keyDigest: keyDigest('k1') }).access, Access.Anonymous)
})

test('a key is read from one bearer header alone', (t) => {
  t.is(readBearerKey([]), undefined)
  t.is(readBearerKey(['bearer  k1']), keyDigest('k1'))
  t.is(readBearerKey(['Bearer k1', 'Bearer k2']), '')
  t.is(readBearerKey(['Basic azE6']), '')
  t.is(readBearerKey(['Bearer']), '')
})

test('two accounts cannot have one key', (t) => {
  t.deepEqual(configurationOf({ bank: ['k1'], telecom: ['k1'] }).problems.map(({ field }) => field), ['spec.keyDigests'])
})

test('a key in place of its digest is refused by name of the field, and not repeated', (t) => {
  const { problems: [{ field, message }] } = checkResources([{ kind: ResourceKind.Account, name: 'bank', revision: 1, spec: { keyDigests: ['a-key-in-clear'] } }], 1)
  t.is(field, 'spec.keyDigests.0')
  t.notRegex(message, /a-key-in-clear/)
})
