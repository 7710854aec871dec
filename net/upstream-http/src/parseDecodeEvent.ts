import { type HoldLabel } from '@reelspan/core.messages'
import { type DecodeEvent, UpstreamError } from '@reelspan/upstream.client'

/** Parses a line of a decode stream. There is one for each token, so it is validated without a schema, which would take most of the time. */
export function parseDecodeEvent (line: string): DecodeEvent {
  const event = JSON.parse(line) as Partial<Record<'label' | 'index' | 'text' | 'end' | 'count', unknown>>
  const { label, index, text, end, count } = event
  if (isLabel(label)) {
    if (end === true && Number.isInteger(count)) return { label, end, count: count as number }
    if (Number.isInteger(index) && typeof text === 'string') return { label, index: index as number, text }
  }
  throw new UpstreamError(`invalid decode event: ${line.slice(0, 100)}`, { mayHaveRun: true })
}

function isLabel (label: unknown): label is HoldLabel {
  const { ownerIncarnation, requestId } = (label ?? {}) as Partial<Record<keyof HoldLabel, unknown>>
  return typeof ownerIncarnation === 'string' && typeof requestId === 'string'
}
