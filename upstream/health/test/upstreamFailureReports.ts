import { type UpstreamFailureReport, UpstreamFailureReports } from '@reelspan/upstream.health'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

let nextId = 0

function report (box: string, over: Partial<UpstreamFailureReport> = {}): UpstreamFailureReport {
  return { id: `r${nextId++}`, upstream: 'desk-1', box, ageMs: 0, ...over }
}

function createReports () {
  const clock = new VirtualClock()
  return { clock, reports: new UpstreamFailureReports({ clock }) }
}

test('an upstream that two boxes report at about the same time is avoided for a second', async (t) => {
  const { clock, reports } = createReports()
  reports.add(report('box-1'))
  t.false(reports.isFailing('desk-1'))
  await clock.advance(100)
  reports.add(report('box-2'))
  t.true(reports.isFailing('desk-1'))
  t.false(reports.isFailing('desk-2'))
  await clock.advance(999)
  t.true(reports.isFailing('desk-1'))
  await clock.advance(1)
  t.false(reports.isFailing('desk-1'))
})

test('reports of a single box are not sufficient, however many there are', async (t) => {
  const { clock, reports } = createReports()
  for (let i = 0; i < 10; i++) {
    reports.add(report('box-1'))
    await clock.advance(10)
  }
  t.false(reports.isFailing('desk-1'))
})

test('reports far apart in time do not agree, since single answers are lost occasionally', async (t) => {
  const { clock, reports } = createReports()
  for (const box of ['box-1', 'box-2', 'box-3', 'box-4']) {
    reports.add(report(box))
    await clock.advance(200)
  }
  t.false(reports.isFailing('desk-1'))
})

test('a delayed report counts from the time of the failure, and is added once', async (t) => {
  const { clock, reports } = createReports()
  const first = report('box-1', { ageMs: 140 })
  t.true(reports.add(first))
  t.false(reports.add(first))
  reports.add(report('box-2', { ageMs: 60 }))
  t.true(reports.isFailing('desk-1'))
  await clock.advance(940)
  t.false(reports.isFailing('desk-1'))
  t.false(reports.add(report('box-3', { ageMs: 6000 })))
})

test('at most two reports per second are broadcast for one upstream, and none once boxes agree', async (t) => {
  const { clock, reports } = createReports()
  t.true(reports.add(report('box-1')))
  await clock.advance(200)
  t.true(reports.add(report('box-2')))
  await clock.advance(200)
  t.false(reports.add(report('box-3')))
  await clock.advance(1000)
  t.true(reports.add(report('box-1')))
  t.true(reports.add(report('box-2')))
  t.true(reports.isFailing('desk-1'))
  await clock.advance(900)
  t.false(reports.add(report('box-3')))
})
