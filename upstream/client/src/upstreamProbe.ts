/** Result of a connection attempt to an upstream's address. */
export enum UpstreamProbeResult {
  /** A process accepts connections: the upstream, or another process that has since taken the address. */
  Listening = 'listens',
  /** The machine is up but no process listens: the upstream's process has exited. */
  Refused = 'refuses',
  /** No answer. The state of the upstream is unknown. */
  Unresponsive = 'silent',
}

/** Checks whether a process listens at an upstream's address. */
export abstract class UpstreamProbe {
  /** Never throws. */
  abstract probe (address: string): Promise<UpstreamProbeResult>
}

/** Whether an upstream is still the start that the list names. */
export enum UpstreamIdentity {
  Same = 'same',
  /** It answered without saying which start it is. */
  Unnamed = 'unnamed',
  /** Another start has its address. */
  Other = 'other',
  Unknown = 'unknown',
}
