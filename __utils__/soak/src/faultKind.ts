/** Kinds of faults that are injected from outside. */
export enum FaultKind {
  KillBox = 'killBox',
  KillMost = 'killMost',
  /** As many boxes as may be killed at once, the first one among them, so that no memory is left in a small fleet. */
  KillAll = 'killAll',
  PauseBox = 'pauseBox',
  StopBox = 'stopBox',
  ChangeSettings = 'changeSettings',
  /** Sends SIGTERM, then SIGSTOP and SIGCONT while the box stops. */
  PauseWhileStopping = 'pauseWhileStopping',
  /** Sends SIGTERM, then SIGKILL while the box stops. */
  KillWhileStopping = 'killWhileStopping',
  /** Publishes configurations before, during and after a kill and restart of a box. */
  RestartDuringChange = 'restartDuringChange',
  /** Changes the settings and sends SIGHUP several times, then sends SIGTERM. */
  ReloadsThenStop = 'reloadsThenStop',
  StorePath = 'storePath',
  PeerPath = 'peerPath',
  UpstreamPath = 'upstreamPath',
  SilentStoreConnections = 'silentStoreConnections',
  SilentPeerConnections = 'silentPeerConnections',
  SilentUpstreamConnections = 'silentUpstreamConnections',
  StoreRefuses = 'storeRefuses',
  StoreSilent = 'storeSilent',
  StoreSlow = 'storeSlow',
  /** The store serves stale reads and loses its history after a change, so that boxes read everything again. */
  StoreStale = 'storeStale',
  StoreForgets = 'storeForgets',
  CrashUpstream = 'crashUpstream',
  UpstreamLeaves = 'upstreamLeaves',
  /** An upstream starts draining while the path between a box and the store is faulty. */
  UpstreamLeavesWhileCut = 'upstreamLeavesWhileCut',
  ChangeConfiguration = 'changeConfiguration',
  /** The reports of an engine have no end. */
  EndlessReports = 'endlessReports',
  /** The answers of the store have no end. */
  StoreEndless = 'storeEndless',
  /** The answers of an upstream lack its signature. */
  UnsignedAnswers = 'unsignedAnswers',
  /** Clients that read no answers, send requests ahead or parts of them, and leave early. */
  ClientCrowd = 'clientCrowd',
}

/** Faults of answers that have no end. */
export const ENDLESS_KINDS: readonly FaultKind[] = [FaultKind.EndlessReports, FaultKind.StoreEndless]
/** Faults that are not drawn with the others. */
export const UNDRAWN_KINDS: readonly FaultKind[] = [...ENDLESS_KINDS, FaultKind.KillAll, FaultKind.UnsignedAnswers, FaultKind.ClientCrowd]
