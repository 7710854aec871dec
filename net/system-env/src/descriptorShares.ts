/** How many connections of each kind a process may have open. */
export interface DescriptorShares {
  callers: number
  lookups: number
  peers: number
  upstreams: number
}

/** Parts of a process's descriptors. What they leave is for listeners, the platform, readiness, metrics and operators. */
const PARTS: DescriptorShares = {
  // A caller's request takes one here and, while it runs, at most one to an upstream.
  callers: 0.4,
  // Short ones, but all callers may come at once.
  lookups: 0.1,
  // Both directions: a box that schedules for others is connected with all that ask it.
  peers: 0.25,
  upstreams: 0.2,
}

/** Divides the descriptors that a process has for connections, so that no kind can take those of another. */
export function descriptorShares (descriptors: number): DescriptorShares {
  const partOf = (part: number) => Math.max(1, Math.floor(descriptors * part))
  return { callers: partOf(PARTS.callers), lookups: partOf(PARTS.lookups), peers: partOf(PARTS.peers), upstreams: partOf(PARTS.upstreams) }
}
