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
