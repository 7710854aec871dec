import test from 'ava'
import { type Status, statusLines } from '../lib/show.js'

const STATUS: Status = {
  resource: { kind: 'Model', name: 'draft', revision: 3 },
  revisionInForce: 4,
  shards: [{
    box: 'box-1',
    ageMs: 20,
    shard: {
      shard: 'draft',
      waiting: 0,
      reservations: 2,
      mayOrder: true,
      prefill: [{ name: 'p-1', servedVersion: '1', leaving: false, retiring: true, busyMs: 0, reportAgeMs: 300 }],
      decode: [{ name: 'd-1', servedVersion: '1', leaving: false, retiring: false, reservedPlaces: 2, externalPlaces: 0, reportAgeMs: 300 }],
    },
  }],
  boxesNotAsked: [],
}

test('the status of a model lists its engines with their state', (t) => {
  t.deepEqual(statusLines(STATUS), [
    'Model/draft  changed in revision 3, revision 4 is in force',
    'shard draft  accounted for by box-1, 20 ms ago: 0 waiting, 2 running',
    '  p-1: version 1, draining for an order, busy for 0 ms, report 300 ms old',
    '  d-1: version 1, 2 slots reserved, 0 used by others, report 300 ms old',
  ])
})

test('if roles follow the load, the status shows the targeted number of engines per role', (t) => {
  const [{ box, ageMs, shard }] = STATUS.shards
  const lines = statusLines({ ...STATUS, shards: [{ box, ageMs, shard: { ...shard, roles: { outcome: 'settling', target: { prefill: 1, decode: 1 } } } }] })
  t.is(lines[2], '  roles: 1 prefill and 1 decode targeted (settling)')
})
