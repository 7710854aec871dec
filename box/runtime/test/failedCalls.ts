import { Collection, MessageType } from '@reelspan/core.messages'
import { LogEvent, type LogFields } from '@reelspan/telemetry.log'
import { FakeFleet, type FakeBox } from '@reelspan/utils.fake-fleet'
import test from 'ava'

function logFieldsOf ({ log }: FakeBox, event: LogEvent): LogFields[] {
  return log.entries.filter((entry) => entry.event === event).map(({ fields }) => fields ?? {})
}

test('an engine that sends its scheduler no report is logged, with a reason and at a limited rate', async (t) => {
  const fleet = await new FakeFleet().start()
  const scheduler = fleet.schedulerBox()
  const engine = [...fleet.engines.values()][0].name
  t.deepEqual(logFieldsOf(scheduler, LogEvent.EngineCallFailed), [])
  fleet.killEngine(engine)
  await fleet.clock.advance(150_000)
  const lines = logFieldsOf(scheduler, LogEvent.EngineCallFailed).filter(({ call }) => call === 'report')
  t.deepEqual(new Set(lines.map(({ upstream }) => upstream)), new Set([engine]))
  t.true(lines.every(({ reason }) => typeof reason === 'string' && reason.length > 0))
  t.is(lines.length, 3, 'one at once, and one a minute')
  await fleet.stop()
})

test('a failed pull from a peer is logged with a reason', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.platform.publish(Collection.Declarations, [])
  await fleet.clock.advance(50)
  // The others have the new revision or know of it from heartbeats; it can no longer be pulled from any peer.
  fleet.boxes.forEach(({ address }, i) => fleet.boxes.slice(i + 1).forEach((other) => fleet.network.blockBoth(address, other.address)))
  await fleet.clock.advance(3000)
  const pulls = fleet.boxes.flatMap((box) => logFieldsOf(box, LogEvent.PeerCallFailed)).filter(({ call }) => call === MessageType.ConfigPull)
  t.true(pulls.length > 0)
  t.true(pulls.every(({ peer, reason }) => String(peer).startsWith('box-') && String(reason).includes('did not answer')))
  await fleet.stop()
})

test('a fleet without faults logs no failed call', async (t) => {
  const fleet = await new FakeFleet().start()
  await fleet.clock.run(fleet.send('box-1', fleet.completion('box-1', 'once upon a time')))
  await fleet.clock.advance(30_000)
  t.deepEqual(fleet.boxes.flatMap((box) => [...logFieldsOf(box, LogEvent.PeerCallFailed), ...logFieldsOf(box, LogEvent.EngineCallFailed)]), [])
  await fleet.stop()
})

test('a fleet under injected faults logs no failed task', async (t) => {
  const fleet = await new FakeFleet().start()
  fleet.kill('box-2')
  fleet.isolate('box-3')
  fleet.killEngine([...fleet.engines.values()][0].name)
  fleet.platform.outage = true
  await fleet.clock.advance(20_000)
  fleet.network.healAll()
  fleet.platform.outage = false
  await fleet.clock.advance(20_000)
  t.deepEqual(fleet.boxes.flatMap((box) => logFieldsOf(box, LogEvent.TaskFailed)), [])
  await fleet.stop()
})
