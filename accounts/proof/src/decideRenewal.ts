/** Role of a box in reading the platform. */
export enum ProofRole {
  /** The first of the boxes that watch the platform for their availability zone. */
  First = 'first',
  Watcher = 'watcher',
  Other = 'other',
}

/** How a box renews its proof. */
export interface Renewal {
  askPlatform: boolean
  askPeer: boolean
}

/**
 * Age of the proof, as a share of the maximum age, from which a box asks the platform. One box of each zone renews the
 * proof for the fleet, with five calls per maximum age. The other watchers act as its backup, and finally each box asks
 * the platform itself.
 */
const ASK_PLATFORM_AFTER: Record<ProofRole, number> = {
  [ProofRole.First]: 0.2,
  [ProofRole.Watcher]: 0.4,
  [ProofRole.Other]: 0.7,
}
/** Share of the maximum age from which a peer is asked, in addition to the heartbeats. */
const ASK_PEER_AFTER = 0.5

/** Decides how a box with a proof of this age renews it. */
export function decideRenewal (ageMs: number, maxAgeMs: number, role: ProofRole): Renewal {
  return { askPlatform: ageMs >= ASK_PLATFORM_AFTER[role] * maxAgeMs, askPeer: ageMs >= ASK_PEER_AFTER * maxAgeMs }
}
