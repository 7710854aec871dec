/** All log events of reelspan. The operator's page explains each one. */
export enum LogEvent {
  Started = 'started',
  Stopping = 'stopping',
  /** Whether a stopping box expects to complete a request in its remaining time. */
  StopChecked = 'stopChecked',
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
  /** The planned roles of engines have changed. */
  RolesPlanned = 'rolesPlanned',
  RecordsTaken = 'recordsTaken',
  HandoffFailed = 'handoffFailed',
  Reloaded = 'reloaded',
  ReloadFailed = 'reloadFailed',
  DependencyLost = 'dependencyLost',
  DependencyRegained = 'dependencyRegained',
  /** A connection to another box became unresponsive, while a new one works. */
  ConnectionSilent = 'connectionSilent',
  /** A server has reached its connection limit, or accepts connections again. */
  ConnectionsFull = 'connectionsFull',
  /** A server closed a connection because of a limit on what clients may make it hold. */
  ConnectionClosed = 'connectionClosed',
  /** A server failed to accept a connection. */
  ListenerFailed = 'listenerFailed',
  /** The handler of a request to one of the box's servers threw unexpectedly. */
  RequestHandlerFailed = 'requestHandlerFailed',
  /** The platform's store was restored from an older backup. */
  PlatformRestored = 'platformRestored',
  /** The header with the store's era, which counts its restores, cannot be parsed or is missing. */
  PlatformEraUnreadable = 'platformEraUnreadable',
  /** An answer of the platform's store was dropped, since it is older than the known state. */
  PlatformReadDropped = 'platformReadDropped',
  /** The rest of an answer was not read, since it is larger than any valid one. */
  AnswerOversized = 'answerOversized',
  AnswerUnsigned = 'answerUnsigned',
  /** An answer on a connection to an upstream belonged to another request than the one sent, and was skipped. */
  AnswerForeign = 'answerForeign',
  EntriesKept = 'entriesKept',
  UpstreamsChanged = 'upstreamsChanged',
  EntryUnreadable = 'entryUnreadable',
  AdmissionDecided = 'admissionDecided',
  /** A request was refused for its client account's key or limit. */
  AccountRefused = 'accountRefused',
  /** This box has obtained or lost the freshness proof of its configuration, which keyed requests require. */
  AccountsProofChanged = 'accountsProofChanged',
  RequestPlaced = 'requestPlaced',
  RequestSent = 'requestSent',
  /** An upstream refused a request without running it. */
  UpstreamRefused = 'upstreamRefused',
  RequestRetried = 'requestRetried',
  /** An attempt failed, and no other one is made. */
  RequestNotRetried = 'requestNotRetried',
  /** An exchange with an upstream has brought nothing for its time. */
  ExchangeSilent = 'exchangeSilent',
  /** A silent exchange was ended, since another attempt goes on with its request. */
  ExchangeGivenUp = 'exchangeGivenUp',
  /** An attempt failed while another one of its request is open. */
  AttemptFailed = 'attemptFailed',
  /** A request is run by another box, since this one cannot reach any upstream. */
  RequestDelegated = 'requestDelegated',
  /** A client takes up a stream that an earlier attempt began. */
  StreamTakenUp = 'streamTakenUp',
  HandleLeft = 'handleLeft',
  /** An upstream's answer to a request was interrupted. Includes the result of probing its address. */
  RunBrokeOff = 'runBrokeOff',
  /** A run ended in a way that does not say whether its upstream has exited. */
  RunUndecided = 'runUndecided',
  /** Whether the upstream of such a run has exited is known, or will not be. */
  RunDecided = 'runDecided',
  /** A request was quarantined because the upstreams that ran it exited, or was released from quarantine. */
  QuarantineChanged = 'quarantineChanged',
  /** A run of this box shows that a prompt part did not crash an upstream that exited. */
  PromptPartCleared = 'promptPartCleared',
  /** The rate limit that an upstream advertises has been set, changed or removed. */
  UpstreamLimitChanged = 'upstreamLimitChanged',
  /** A request skipped upstreams whose rate limit is exhausted. */
  UpstreamsAtLimit = 'upstreamsAtLimit',
  /** A request skipped upstreams that asked this box to back off. */
  UpstreamsBackingOff = 'upstreamsBackingOff',
  /** An upstream advertises that it is draining. */
  UpstreamDraining = 'upstreamDraining',
  /** An upstream refused a request and asked this box to back off. */
  UpstreamBackoff = 'upstreamBackoff',
  /** A value that an upstream advertises cannot be parsed. */
  UpstreamSignalUnreadable = 'upstreamSignalUnreadable',
  /** An upstream sends a header that this version does not know. */
  UpstreamHeaderUnknown = 'upstreamHeaderUnknown',
  /** A service pool has become short of capacity, or is no longer. */
  PoolShortageChanged = 'poolShortageChanged',
  /** A call was refused since its pool is short of capacity and cannot serve it in time. */
  PoolCallRefused = 'poolCallRefused',
  /** A decode engine refused a request as full and is limited for a while to the slots that it has in use. */
  EngineFull = 'engineFull',
  /** This box has lost its network paths to all upstreams, or has regained them. */
  UpstreamPathsLost = 'upstreamPathsLost',
  UpstreamPathsRegained = 'upstreamPathsRegained',
  UpstreamSuspected = 'upstreamSuspected',
  UpstreamTrusted = 'upstreamTrusted',
  EngineCallFailed = 'engineCallFailed',
  /** An engine did not answer its scheduler, and gets no work until it reports again. */
  EngineUnresponsive = 'engineUnresponsive',
  PeerCallFailed = 'peerCallFailed',
  TaskFailed = 'taskFailed',
  /** The wall clock jumped ahead of the monotonic clock: the machine was suspended, or the time was set. */
  ClockLeapt = 'clockLeapt',
  LinesDropped = 'linesDropped',
  /** A caller was disconnected since it took too little of its answer. */
  SlowCallerDisconnected = 'slowCallerDisconnected',
  /** The budget for buffered answers became short, or is no longer. */
  AnswerBudgetShort = 'answerBudgetShort',
  /** A request was refused for the memory that the bodies of requests in flight use, or for the time that its own took to arrive. */
  RequestBodyRefused = 'requestBodyRefused',
}

export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>

/** Receives log events. Their fields never contain prompts, tokens or bodies. */
export abstract class Log {
  /** Lines dropped so far because they were not read in time. */
  get droppedLines (): number {
    return 0
  }

  abstract info (event: LogEvent, fields?: LogFields): void
  abstract warn (event: LogEvent, fields?: LogFields): void
}
