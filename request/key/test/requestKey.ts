import { ErrorCode } from '@reelspan/core.error'
import { formatKeyPrefix, parseRequestKey } from '@reelspan/request.key'
import test from 'ava'

const OWNER = { peerAddress: '10.0.0.7:7101', incarnation: '0123456789abcdef', issuedAtMs: 1234 }

test('a key names the owner that issued its prefix', (t) => {
  const key = parseRequestKey(`${formatKeyPrefix(OWNER)}.order-17`)
  t.deepEqual(key.owner, OWNER)
})

test('an altered or truncated key is rejected', (t) => {
  const text = `${formatKeyPrefix(OWNER)}.order-17`
  const broken = [text.replace('rs1-M', 'rs1-N'), text.slice(0, -10), `${formatKeyPrefix(OWNER)}.`, 'rs1-x']
  broken.forEach((one) => t.throws(() => parseRequestKey(one), { code: ErrorCode.KeyInvalid }))
})

test('a key that the caller made up names no owner', (t) => {
  t.is(parseRequestKey('my-key').owner, undefined)
  t.throws(() => parseRequestKey('spaces are bad'), { code: ErrorCode.KeyInvalid })
})
