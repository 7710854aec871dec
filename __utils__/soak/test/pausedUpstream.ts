import { requestHeaders, Role, StandInUpstream } from '@reelspan/utils.platform-stand-ins'
import test from 'ava'
import { request } from 'undici'

const SHAPE = { events: 4, workMs: 20 }

async function stream (upstream: StandInUpstream, id: string, onHead = () => {}): Promise<string> {
  const { body } = await request(`http://${upstream.address}/reply/1`, { method: 'POST', headers: requestHeaders(id, {}), body: '' })
  onHead()
  return body.text()
}

test('a paused upstream sends and reads nothing, accepts connections, and goes on when it is resumed', async (t) => {
  const paused = new StandInUpstream(Role.Decode, { shapeOf: () => SHAPE })
  const running = new StandInUpstream(Role.Decode, { shapeOf: () => SHAPE })
  await Promise.all([paused.start(), running.start()])
  t.teardown(() => {
    paused.stop()
    running.stop()
  })
  const begun = stream(paused, 'begun', () => paused.pause())
  await stream(running, 'other')
  const sent = paused.runs[0].sentEvents
  const unread = stream(paused, 'unread')
  await stream(running, 'another')
  t.is(paused.runs[0].sentEvents, sent)
  t.true(sent < SHAPE.events)
  t.deepEqual(paused.arrivals.map(({ id }) => id), ['begun'])
  paused.resume()
  t.is((await begun).split('\n\n').length - 1, SHAPE.events)
  t.is((await unread).split('\n\n').length - 1, SHAPE.events)
  t.is(paused.runs[0].eventsAtMs?.length, SHAPE.events)
})
