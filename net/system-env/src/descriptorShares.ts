/** The maximum number of open connections of each kind. */
export interface DescriptorShares {
  callers: number
  lookups: number
  peers: number
  upstreams: number
}

/** Shares of a process's file descriptors. The rest is for listeners, the platform, readiness, metrics and operators. */
const SHARES: DescriptorShares = {
  // A request uses one connection from its caller and, while it runs, at most one to an upstream.
  callers: 0.4,
  // These connections are short, but all callers may open one at the same time.
  lookups: 0.1,
  // For both directions. A box that is a scheduler is connected to all boxes that use it.
  peers: 0.25,
  upstreams: 0.2,
}

/** Divides a process's file descriptors between the kinds of connections, so that no kind can use up those of another. */
export function descriptorShares (descriptors: number): DescriptorShares {
  const countOf = (share: number) => Math.max(1, Math.floor(descriptors * share))
  return { callers: countOf(SHARES.callers), lookups: countOf(SHARES.lookups), peers: countOf(SHARES.peers), upstreams: countOf(SHARES.upstreams) }
}
