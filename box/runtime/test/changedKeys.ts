import { changedKeys } from '@reelspan/box.runtime'
import { parseSettings } from '@reelspan/config.settings'
import test from 'ava'

const TEXT = `
[box]
name = "a"
availabilityZone = "z"
[listen]
callerAddress = "127.0.0.1:1"
peerAddress = "127.0.0.1:2"
operatorAddress = "127.0.0.1:3"
[platform]
addresses = ["127.0.0.1:4"]
`

test('changed settings are listed by section and key', (t) => {
  const before = parseSettings(TEXT, 'box.toml')
  t.deepEqual(changedKeys(before, parseSettings(TEXT, 'box.toml')), [])
  const after = parseSettings(`${TEXT}[membership]\nseedAddresses = ["127.0.0.1:5"]\n`, 'box.toml')
  t.deepEqual(changedKeys(before, after), ['membership.seedAddresses'])
})
