import { FleetChangeLogger } from '@reelspan/box.runtime'
import { FleetList, ReconciledFleet, type ListedUpstream, UpstreamKind } from '@reelspan/config.fleet'
import { LogEvent } from '@reelspan/telemetry.log'
import { RecordingLog } from '@reelspan/utils.fake-fleet'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

function upstream (name: string, leaving = false): ListedUpstream {
  return { name, kind: UpstreamKind.Service, address: `10.0.0.${name}:1`, availabilityZone: 'a', pool: 'desk', leaving }
}

function createChanges () {
  const listed = { value: new FleetList([], []), revision: 0 }
  const guard = { mayHaveExpired: false }
  const log = new RecordingLog()
  const fleet = new ReconciledFleet({ clock: new VirtualClock(), listed, mayHaveExpired: () => guard.mayHaveExpired })
  const changes = new FleetChangeLogger({ fleet, log, platformSilentMs: () => 1234.5 })
  const list = (...upstreams: ListedUpstream[]) => {
    Object.assign(listed, { value: new FleetList([], upstreams), revision: listed.revision + 1 })
    changes.logChanges({ era: 0, revision: listed.revision })
    return log.entries.at(-1)?.fields
  }
  return { log, guard, list }
}

test('logs which upstreams were added, are draining and were removed, with the revision', (t) => {
  const { log, list } = createChanges()
  t.like(list(upstream('1'), upstream('2')), { revision: 1, takingWork: ['1', '2'], leaving: [], gone: [] })
  t.like(list(upstream('1', true), upstream('2')), { revision: 2, takingWork: [], leaving: ['1'], gone: [], platformSilentMs: 1235 })
  t.like(list(upstream('2')), { revision: 3, leaving: [], gone: ['1'] })
  t.deepEqual(log.entries.map(({ event }) => event), [LogEvent.UpstreamsChanged, LogEvent.UpstreamsChanged, LogEvent.UpstreamsChanged])
})

test('logs which upstreams are kept although not listed, and when they are dropped', (t) => {
  const { guard, list } = createChanges()
  list(upstream('1'), upstream('2'))
  guard.mayHaveExpired = true
  t.like(list(upstream('2')), { kept: ['1'], gone: [] })
  guard.mayHaveExpired = false
  t.like(list(upstream('2')), { kept: [], gone: ['1'] })
})

test('logs nothing for a revision that changes no upstream', (t) => {
  const { log, list } = createChanges()
  list(upstream('1'))
  list(upstream('1'))
  t.is(log.entries.length, 1)
})
