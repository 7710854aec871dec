import { type RequestShape } from '@reelspan/utils.platform-stand-ins'
import { type SeededRandom } from '@reelspan/utils.fakes'
import { isStream, type RouteKind } from './attempt.js'
import { drawOne } from './drawOne.js'

/** Share of the requests that take longer than the default few milliseconds. */
const LONG_REQUEST_SHARE = 0.2
const LONG_CALL_DURATION_MS = 700
/** Intervals between the events of long streams. The longest exceeds the gap that the route sets as its target. */
const LONG_EVENT_INTERVALS_MS = [100, 150, 500]
const LONG_STREAM_DURATION_MS = { least: 2000, most: 6000 }
const SHAPE_SUFFIX = /-e(\d+)-p(\d+)(?:-b(\d+))?$/

/** Draws the amount of work that a request causes at its upstream, or undefined for the default amount. */
export function drawShape (random: SeededRandom, kind: RouteKind): RequestShape | undefined {
  return random.nextFloat() < LONG_REQUEST_SHARE ? drawLongShape(random, kind) : undefined
}

export function drawLongShape (random: SeededRandom, kind: RouteKind): RequestShape {
  if (!isStream(kind)) return { events: 1, workMs: LONG_CALL_DURATION_MS }
  const workMs = drawOne(random, LONG_EVENT_INTERVALS_MS)
  const durationMs = LONG_STREAM_DURATION_MS.least + random.nextFloat() * (LONG_STREAM_DURATION_MS.most - LONG_STREAM_DURATION_MS.least)
  return { events: Math.round(durationMs / workMs), workMs }
}

/** Appends the shape to a request's id, so that the upstream can read it whichever box forwards the request. */
export function appendShape (id: string, shape?: RequestShape): string {
  return shape ? `${id}-e${shape.events}-p${shape.workMs}${shape.answerBytes === undefined ? '' : `-b${shape.answerBytes}`}` : id
}

export function parseShape (id: string): RequestShape | undefined {
  const [, events, workMs, answerBytes] = SHAPE_SUFFIX.exec(id) ?? []
  return events === undefined ? undefined : { events: Number(events), workMs: Number(workMs), answerBytes: answerBytes === undefined ? undefined : Number(answerBytes) }
}
