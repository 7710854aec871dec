/** Everything that reelspan logs. The operator's page explains each. */
export enum LogEvent {
  Started = 'started',
  Stopping = 'stopping',
  Stopped = 'stopped',
  RequestEnded = 'requestEnded',
  RevisionAdopted = 'revisionAdopted',
  RevisionRejected = 'revisionRejected',
  MemberChanged = 'memberChanged',
  IncarnationRenewed = 'incarnationRenewed',
  SchedulerTaken = 'schedulerTaken',
  SchedulerLeft = 'schedulerLeft',
  HoldReleased = 'holdReleased',
  OrderSent = 'orderSent',
  /** Which roles engines should have, when that changes. */
  RolesPlanned = 'rolesPlanned',
  RecordsTaken = 'recordsTaken',
  HandoffFailed = 'handoffFailed',
  Reloaded = 'reloaded',
  ReloadFailed = 'reloadFailed',
  DependencyLost = 'dependencyLost',
  DependencyRegained = 'dependencyRegained',
  /** A connection to another box brought nothing any more, while a new one works. */
  ConnectionSilent = 'connectionSilent',
  /** A server has as many connections as it may, or has room again. */
  ConnectionsFull = 'connectionsFull',
  /** A server could not take a connection. */
  ListenerFailed = 'listenerFailed',
  /** The platform's store came back from an older copy. */
  PlatformRestored = 'platformRestored',
  /** The header that tells how often the store came back cannot be read, or is missing. */
  PlatformEraUnreadable = 'platformEraUnreadable',
  /** An answer of the platform's store was dropped, since it is older than what is known. */
  PlatformReadDropped = 'platformReadDropped',
  EntriesKept = 'entriesKept',
  UpstreamsChanged = 'upstreamsChanged',
  EntryUnreadable = 'entryUnreadable',
  AdmissionDecided = 'admissionDecided',
  /** A request was refused for its client account's key or limit. */
  AccountRefused = 'accountRefused',
  /** This box has, or no longer has, proof that its configuration is new enough for keyed requests. */
  AccountsProofChanged = 'accountsProofChanged',
  RequestPlaced = 'requestPlaced',
  RequestSent = 'requestSent',
  RequestRetried = 'requestRetried',
  HandleLeft = 'handleLeft',
  /** An upstream's answer to a request broke off, and what was then found at its address. */
  RunBrokeOff = 'runBrokeOff',
  /** A request is not run any more, since it ended the upstreams that ran it, or may run again. */
  QuarantineChanged = 'quarantineChanged',
  /** An upstream names a limit, another one or none any more. */
  UpstreamLimitChanged = 'upstreamLimitChanged',
  /** A request did not go to upstreams that have got as many as they take for now. */
  UpstreamsAtLimit = 'upstreamsAtLimit',
  /** A request did not go to upstreams that asked this box to wait. */
  UpstreamsBackingOff = 'upstreamsBackingOff',
  /** An upstream advertises that it is draining. */
  UpstreamDraining = 'upstreamDraining',
  /** An upstream refused a request and asked this box to wait. */
  UpstreamBackoff = 'upstreamBackoff',
  /** A value that an upstream advertises cannot be parsed. */
  UpstreamSignalUnreadable = 'upstreamSignalUnreadable',
  /** An upstream sends a header that this version does not know. */
  UpstreamHeaderUnknown = 'upstreamHeaderUnknown',
  UpstreamSuspected = 'upstreamSuspected',
  UpstreamTrusted = 'upstreamTrusted',
  EngineCallFailed = 'engineCallFailed',
  PeerCallFailed = 'peerCallFailed',
  TaskFailed = 'taskFailed',
  /** The time of day went ahead of the steady clock: the machine was suspended, or the time was set. */
  ClockLeapt = 'clockLeapt',
  LinesDropped = 'linesDropped',
}

export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>

/** Where log events go. Prompts, tokens and bodies are never among the fields. */
export abstract class Log {
  /** Lines that were dropped so far because nobody took them in time. */
  get droppedLines (): number {
    return 0
  }

  abstract info (event: LogEvent, fields?: LogFields): void
  abstract warn (event: LogEvent, fields?: LogFields): void
}
