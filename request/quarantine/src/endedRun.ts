import { type RequestIdentity } from '@reelspan/request.identity'

/** How a run ended whose upstream may have exited while it ran. */
export enum RunEndKind {
  /** The answer was interrupted or did not arrive. */
  Interrupted = 'interrupted',
  /** The answer ended with its connection, as it does if the upstream has sent everything and if it exits. */
  Unconfirmed = 'unconfirmed',
  /** This box ended it, for example because the caller disconnected. The upstream may have gone on with it. */
  Abandoned = 'abandoned',
}

/** A request that was sent to an upstream, and whose run has ended. */
export interface EndedRun {
  /** Id of the attempt. */
  request: string
  route: string
  identity: RequestIdentity
  upstream: string
  address: string
  /** When the request was sent to the upstream. */
  sentAtMs: number
  /** Time between the first and the last complete event of its answer. Absent if there was none. */
  writtenMs?: number
  /** Model or pool that the request was sent to, and the software version of the upstream. */
  targetVersion?: string
  /** Pool and availability zone of the upstream, if it is listed. */
  pool?: string
  availabilityZone?: string
  reason: string
}

/** A run that was at an exit of its upstream. */
export interface UpstreamExitRun extends EndedRun {
  endedAtMs: number
  /** When the upstream's process was found to have exited. */
  exitKnownAtMs: number
}
