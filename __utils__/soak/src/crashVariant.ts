/** How engines exit under the requests of a crash phase, and what the callers of these do. */
export interface CrashVariant {
  name: string
  /** Answers to these requests have neither a length nor chunks, and are closed like whole ones when their engine exits. */
  endsWithConnection: boolean
  /** The callers disconnect this long after their answer has begun. */
  leaveAfterMs?: number
  /** The addresses of engines that have exited go on accepting connections. */
  addressStays: boolean
}

const INTERRUPTED: CrashVariant = { name: 'interrupted answers', endsWithConnection: false, addressStays: false }

export const CRASH_VARIANTS: readonly CrashVariant[] = [
  INTERRUPTED,
  { ...INTERRUPTED, name: 'answers that end with their connection', endsWithConnection: true },
  { ...INTERRUPTED, name: 'callers that leave', leaveAfterMs: 6 },
  { ...INTERRUPTED, name: 'addresses that stay', addressStays: true },
  { name: 'answers that end with their connection at addresses that stay', endsWithConnection: true, addressStays: true },
]

/** A prompt part that crashes the engines that begin to write an answer to it. */
export interface CrashingPart extends CrashVariant {
  part: string
}

export const CRASHING_PREFIX = 'crashing-'

/** Whether a request was sent by the crash phase. */
export function isOfCrashPhase (id: string): boolean {
  return id.startsWith(CRASHING_PREFIX)
}
