import { parseSettings } from '@reelspan/config.settings'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import test, { type ExecutionContext } from 'ava'

const GOOD = `
[box]
name = "hall-a-1"
availabilityZone = "hall-a"

[listen]
callerAddress = "127.0.0.1:8101"
peerAddress = "127.0.0.1:7101"
operatorAddress = "127.0.0.1:9101"

[platform]
addresses = ["127.0.0.1:7000"]
`

function messageOf (t: ExecutionContext, text: string): string {
  const error = t.throws<ReelspanError>(() => parseSettings(text, 'box.toml'), { code: ErrorCode.BadSettings })
  return error?.message ?? ''
}

test('settings come with defaults filled in', (t) => {
  const settings = parseSettings(GOOD, 'box.toml')
  t.is(settings.membership.probePeriodMs, 1000)
  t.is(settings.limits.bodyBytes, 4_000_000)
})

test('a misspelt key is reported with a suggestion', (t) => {
  t.is(messageOf(t, `${GOOD}\n[requests]\nlookupKeepMS = 5`), 'box.toml: requests.lookupKeepMS: unknown key; did you mean «lookupKeepMs»?')
  t.regex(messageOf(t, `${GOOD}\n[request]\nrecordBytes = 5`), /^box.toml: request: unknown key; did you mean «requests»\?$/)
})

test('an invalid value is reported with what was expected', (t) => {
  t.is(messageOf(t, `${GOOD}\n[requests]\nlookupKeepMs = "5s"`), 'box.toml: requests.lookupKeepMs: expected a number of milliseconds')
  t.is(messageOf(t, `${GOOD}\n[requests]\nlookupKeepMs = -1`), 'box.toml: requests.lookupKeepMs: expected more than 0 ms')
  t.regex(messageOf(t, GOOD.replace('127.0.0.1:7101', 'localhost:7101')), /^box.toml: listen.peerAddress: expected an IP number and a port/)
})

test('all problems are reported together', (t) => {
  t.is(messageOf(t, GOOD.replace('name = "hall-a-1"', 'name = 7').replace('["127.0.0.1:7000"]', '[]')).split('\n').length, 2)
})

test('invalid TOML is reported with its line', (t) => {
  t.regex(messageOf(t, '[box\nname = 1'), /^box.toml:1:\d+: /)
})

test('an operator address that is not on loopback requires a token', (t) => {
  const open = GOOD.replace('127.0.0.1:9101', '10.0.0.1:9101')
  t.regex(messageOf(t, open), /operatorTokenFile or listen.operatorTokenVariable is needed/)
  t.notThrows(() => parseSettings(open.replace('[platform]', 'operatorTokenVariable = "TOKEN"\n[platform]'), 'box.toml'))
})

test('conflicting values are reported', (t) => {
  t.regex(messageOf(t, `${GOOD}\n[membership]\nprobePeriodMs = 300`), /membership.probeTimeoutMs: expected less than membership.probePeriodMs/)
})
