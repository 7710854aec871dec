import { ConnectionShares, UpstreamsByAddress } from '@reelspan/box.runtime'
import { FleetList, UpstreamKind } from '@reelspan/config.fleet'
import { checkResources, PoolRole } from '@reelspan/config.resources'
import test from 'ava'

test('the maximum of connections to an upstream is divided evenly among the boxes, and each gets at least one', (t) => {
  const { configuration } = checkResources([
    { kind: 'Pool', name: 'desk', revision: 1, spec: { role: PoolRole.Service, maxConnections: 110 } },
    { kind: 'Pool', name: 'open', revision: 1, spec: { role: PoolRole.Service } },
  ], 1)
  let boxCount = 9
  const fleet = {
    revision: 1,
    value: new FleetList([], [
      { name: 'a', kind: UpstreamKind.Service, pool: 'desk', address: '10.0.0.9:1', availabilityZone: 'z', leaving: false },
      { name: 'b', kind: UpstreamKind.Service, pool: 'open', address: '10.0.0.9:2', availabilityZone: 'z', leaving: false },
    ])
  }
  const shares = new ConnectionShares({ configuration: () => configuration, upstreams: new UpstreamsByAddress({ fleet }), boxCount: () => boxCount })
  t.is(shares.at('10.0.0.9:1'), 12)
  t.is(shares.at('10.0.0.9:2'), undefined)
  t.is(shares.at('10.0.0.9:3'), undefined)
  boxCount = 200
  t.is(shares.at('10.0.0.9:1'), 1)
  boxCount = 0
  t.is(shares.at('10.0.0.9:1'), 110)
  Object.assign(fleet, { value: new FleetList([], []), revision: 2 })
  t.is(shares.at('10.0.0.9:1'), undefined)
})
