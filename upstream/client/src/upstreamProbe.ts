/** Result of a connection attempt to an upstream's address. */
export enum UpstreamProbeResult {
  /** A process accepts connections: the upstream, or another process that has since taken the address. */
  Listens = 'listens',
  /** The machine is up but no process listens: the upstream's process has exited. */
  Refuses = 'refuses',
  /** No answer. The state of the upstream is unknown. */
  Silent = 'silent',
}

/** Checks whether a process listens at an upstream's address. */
export abstract class UpstreamProbe {
  /** Never throws. */
  abstract look (address: string): Promise<UpstreamProbeResult>
}
