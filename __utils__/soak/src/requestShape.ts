import { type RequestShape } from '@reelspan/utils.platform-stand-ins'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { isStream, type RouteKind } from './attempt.js'
import { drawOne } from './drawOne.js'

/** Part of the requests that are more than the usual few milliseconds of work. */
const LONG_SHARE = 0.2
const LONG_CALL_MS = 700
/** Pauses between the events of long streams. The longest is beyond the gap that the route aims at. */
const LONG_PAUSES_MS = [100, 150, 500]
const LONG_STREAM_MS = { least: 2000, most: 6000 }
const SHAPE = /-e(\d+)-p(\d+)$/

/** Draws what a request asks of its upstream. Nothing for one of the usual size. */
export function drawShape (random: SeededRandom, kind: RouteKind): RequestShape | undefined {
  if (random.nextFloat() >= LONG_SHARE) return undefined
  if (!isStream(kind)) return { events: 1, workMs: LONG_CALL_MS }
  const workMs = drawOne(random, LONG_PAUSES_MS)
  const wholeMs = LONG_STREAM_MS.least + random.nextFloat() * (LONG_STREAM_MS.most - LONG_STREAM_MS.least)
  return { events: Math.round(wholeMs / workMs), workMs }
}

/** A request's id says its shape, so that the upstream knows it whatever way the request came. */
export function idOfShape (id: string, shape?: RequestShape): string {
  return shape ? `${id}-e${shape.events}-p${shape.workMs}` : id
}

export function shapeOfId (id: string): RequestShape | undefined {
  const [, events, workMs] = SHAPE.exec(id) ?? []
  return events === undefined ? undefined : { events: Number(events), workMs: Number(workMs) }
}
