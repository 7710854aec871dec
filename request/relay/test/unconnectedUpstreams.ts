import { FleetList, UpstreamKind } from '@reelspan/config.fleet'
import test from 'ava'
import { type RelayContext } from '../lib/relayContext.js'
import { unconnectedUpstreams } from '../lib/unconnectedUpstreams.js'

const POOL = 'script-desk'

function contextOf ({ lost }: { lost: boolean }): RelayContext {
  const fleet = new FleetList([], ['desk-1', 'desk-2'].map((name) => ({ name, kind: UpstreamKind.Service, pool: POOL, address: `${name}:80`, availabilityZone: 'hall-a', leaving: false })))
  const opts = { fleet: () => fleet, upstreams: { hasIdleConnection: (address: string) => address === 'desk-1:80' } }
  return { opts, paths: { lost } } as unknown as RelayContext
}

test('requests are sent to no upstream without an open connection while none accepts a new one', (t) => {
  t.deepEqual(unconnectedUpstreams(contextOf({ lost: true }), POOL), ['desk-2'])
  t.deepEqual(unconnectedUpstreams(contextOf({ lost: false }), POOL), [])
})
