/** How near a box stands to the platform. */
export enum ProofRole {
  /** The first of those that watch the platform for their availability zone. */
  First = 'first',
  Watcher = 'watcher',
  Other = 'other',
}

/** How a box gets a younger proof. */
export interface Renewal {
  askPlatform: boolean
  askPeer: boolean
}

/**
 * Parts of the bound after which a box that has no younger proof asks the platform. One box of each zone keeps the
 * fleet's proof young, at five calls a bound; the other watchers stand in for it, and in the end each box helps itself.
 */
const ASK_PLATFORM_AFTER: Record<ProofRole, number> = {
  [ProofRole.First]: 0.2,
  [ProofRole.Watcher]: 0.4,
  [ProofRole.Other]: 0.7,
}
/** From then on a peer is asked, beside the heartbeats. */
const ASK_PEER_AFTER = 0.5

/** What a box with a proof of that age does about it. */
export function decideRenewal (ageMs: number, boundMs: number, role: ProofRole): Renewal {
  return { askPlatform: ageMs >= ASK_PLATFORM_AFTER[role] * boundMs, askPeer: ageMs >= ASK_PEER_AFTER * boundMs }
}
