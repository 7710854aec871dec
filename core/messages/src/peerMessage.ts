import { ErrorCode, Verdict } from '@reelspan/core.error'
import { z } from 'zod'
import { answerEventSchema } from './answer.js'
import { delegatedEventSchema, delegatedRequestSchema, delegationTermsSchema } from './delegatedRun.js'
import { holdLabelSchema } from './holdLabel.js'
import { upstreamStateUpdateSchema } from './upstreamStateUpdate.js'
import { memberSchema } from './member.js'
import { placementAnswerSchema, placementPlanSchema, placementReportSchema, reserveRequestSchema } from './placement.js'
import { PoolCallOutcome, poolAnswerSchema, poolCallSchema, poolShortageSchema, runningPoolCallSchema } from './poolAdmission.js'
import { requestSchema } from './request.js'
import { runEventSchema } from './runEvent.js'
import { streamOriginSchema } from './streamOrigin.js'
import { engineOutcomeSchema } from './upstreamOutcome.js'

/**
 * Version of the messages between boxes. New fields are optional, and a reader
 * ignores fields that it does not know. Other changes raise the version; a box
 * supports this version and the previous one.
 */
export const PROTOCOL_VERSION = 1

/** The two revisioned lists that the platform publishes. */
export enum Collection {
  /** Routes, pools, models and rollouts. */
  Declarations = 'declarations',
  /** Boxes and upstreams, live and leaving. It may be out of date. */
  Fleet = 'fleet',
}

export enum MessageType {
  Heartbeat = 'heartbeat',
  HeartbeatAck = 'heartbeatAck',
  ProbeFor = 'probeFor',
  ProbeResult = 'probeResult',
  MembersPull = 'membersPull',
  MembersState = 'membersState',
  ConfigPull = 'configPull',
  ConfigContent = 'configContent',
  Reserve = 'reserve',
  ReserveAnswer = 'reserveAnswer',
  ReleaseReservation = 'releaseReservation',
  PrefillDone = 'prefillDone',
  AdoptReservations = 'adoptReservations',
  Vouch = 'vouch',
  Vouched = 'vouched',
  Submit = 'submit',
  Answer = 'answer',
  Cancel = 'cancel',
  RecordsHandoff = 'recordsHandoff',
  Lookup = 'lookup',
  LookupAnswer = 'lookupAnswer',
  RunsTell = 'runsTell',
  RunsPull = 'runsPull',
  RunsContent = 'runsContent',
  UpstreamsTell = 'upstreamsTell',
  AccountTake = 'accountTake',
  AccountTaken = 'accountTaken',
  AccountGiveBack = 'accountGiveBack',
  UpstreamStatesTell = 'upstreamStatesTell',
  UpstreamStatesPull = 'upstreamStatesPull',
  UpstreamStatesContent = 'upstreamStatesContent',
  UpstreamTake = 'upstreamTake',
  UpstreamTaken = 'upstreamTaken',
  UpstreamGiveBack = 'upstreamGiveBack',
  PoolAcquire = 'poolAcquire',
  PoolAcquired = 'poolAcquired',
  PoolRelease = 'poolRelease',
  PoolsTell = 'poolsTell',
  Delegate = 'delegate',
  DelegatedEvent = 'delegatedEvent',
  DelegatedRead = 'delegatedRead',
  StreamOriginsTell = 'streamOriginsTell',
  StreamOriginPull = 'streamOriginPull',
  StreamOriginContent = 'streamOriginContent',
  StatusPull = 'statusPull',
  StatusContent = 'statusContent',
  Done = 'done',
  Failed = 'failed',
}

const message = <T extends MessageType, S extends z.ZodRawShape>(type: T, shape: S) =>
  z.object({ type: z.literal(type), ...shape })

/** How the sender numbers revisions. Boxes of earlier releases omit it and use the revisions of the platform's store, which decrease when it is restored. */
export enum RevisionNumbering {
  /** Declarations by the operator's version, the fleet by the store's era and revision. */
  ByVersionAndEra = 'byVersionAndEra',
}

const revision = z.number().int().nonnegative()
const numbering = z.enum(RevisionNumbering).optional()
const durationMs = z.number().nonnegative()

const heartbeatShape = {
  self: memberSchema,
  /** State updates of other members that the receiver may not know yet. */
  news: z.array(memberSchema),
  /** Digest of the sender's whole view. */
  digest: z.number(),
  /** The revisions in force at the sender. */
  revisions: z.object({ [Collection.Declarations]: revision, [Collection.Fleet]: revision }),
  numbering,
  /** Number of requests in flight at the sender. */
  inFlight: z.number().int().nonnegative(),
  /** Time since any box was last in contact with the platform, as far as the sender knows. A pending watch counts as contact until it fails. */
  platformSilentMs: durationMs.optional(),
  /** Time since the platform's last answer to any box, and since its first answer after the last outage. Omitted by boxes of earlier releases. */
  platformAnsweredMs: durationMs.optional(),
  platformAnsweringMs: durationMs.optional(),
  /** In an answer: time between the receipt of the previous heartbeat of the asking box and of this one. */
  heardAgoMs: durationMs.optional(),
  /** Digest of the run events that the sender knows. Omitted if there are none. */
  runsDigest: z.number().optional(),
  /** Digest of the advertised upstream states that the sender knows. Omitted if there are none. */
  upstreamStatesDigest: z.number().optional(),
  /** In an answer: the freshness proof of the sender's configuration. */
  proof: z.object({ revision, ageMs: durationMs }).optional(),
}

/** The known availability of the platform, as durations up to now. */
export interface PlatformAvailability {
  /** Time since the last contact of any box. A pending watch counts as contact. */
  silentMs: number
  /** Time since the last answer. */
  answeredMs: number
  /** Time since the first answer after the last outage. */
  answeringMs: number
}

/** A resource in a message, with the revision of its last change. The spec is null if it was deleted. */
const resourceChangeSchema = z.object({
  kind: z.string(),
  name: z.string(),
  revision,
  spec: z.unknown(),
})

export const peerMessageSchema = z.discriminatedUnion('type', [
  message(MessageType.Heartbeat, { ...heartbeatShape, expectedIncarnation: z.string().optional() }),
  message(MessageType.HeartbeatAck, heartbeatShape),
  message(MessageType.ProbeFor, { address: z.string(), incarnation: z.string() }),
  message(MessageType.ProbeResult, { member: memberSchema.optional() }),
  message(MessageType.MembersPull, {
    /** Digests of the parts of the asking side's view. */
    partDigests: z.array(z.number()),
  }),
  /** The members of those parts that differ. */
  message(MessageType.MembersState, { members: z.array(memberSchema) }),
  message(MessageType.ConfigPull, {
    collection: z.enum(Collection),
    sinceRevision: revision,
    /** Digest of the content in force at the asking box. */
    digest: z.string().optional(),
  }),
  message(MessageType.ConfigContent, {
    revision,
    numbering,
    /** The message has the whole content instead of the changes since the requested revision. */
    full: z.boolean(),
    changes: z.array(resourceChangeSchema),
    /** Digest of the content that results from the changes. A receiver whose result differs requests the whole content. */
    digest: z.string().optional(),
    /** Position in the platform's change feed right after the content. */
    position: z.object({ era: revision, revision }).optional(),
  }),
  message(MessageType.Reserve, { request: reserveRequestSchema }),
  message(MessageType.ReserveAnswer, { answer: placementAnswerSchema }),
  message(MessageType.ReleaseReservation, {
    shardId: z.string(),
    label: holdLabelSchema,
    /** Omitted if the request did not finish. */
    report: placementReportSchema.optional(),
    /** Outcomes of the calls to the request's engines. */
    outcomes: z.array(engineOutcomeSchema).optional(),
    /** Whether only the outcomes are reported, and the reservation is kept. Earlier builds release it. */
    stillReserved: z.boolean().optional(),
  }),
  message(MessageType.PrefillDone, { shardId: z.string(), label: holdLabelSchema }),
  message(MessageType.AdoptReservations, {
    shardId: z.string(),
    reservations: z.array(z.object({
      request: reserveRequestSchema,
      plan: placementPlanSchema,
      ageMs: z.number(),
      decoding: z.boolean(),
      tokensDone: z.number(),
    })),
  }),
  message(MessageType.Vouch, { ownerIncarnation: z.string(), requestIds: z.array(z.string()) }),
  message(MessageType.Vouched, { ownerIncarnation: z.string(), requestIds: z.array(z.string()) }),
  message(MessageType.Submit, { request: requestSchema, fromEvent: z.number().int().nonnegative(), takeOver: z.boolean().optional() }),
  message(MessageType.Answer, { event: answerEventSchema }),
  message(MessageType.Cancel, { key: z.string() }),
  message(MessageType.RecordsHandoff, {
    /** In the last part: the incarnations whose records have all been handed over, with their clocks. */
    taken: z.array(z.object({ incarnation: z.string(), clockMs: z.number() })),
    records: z.array(z.object({
      key: z.string(),
      fingerprint: z.string(),
      ageMs: z.number(),
      events: z.array(answerEventSchema),
    })),
  }),
  message(MessageType.Lookup, { availabilityZone: z.string().optional() }),
  message(MessageType.LookupAnswer, {
    boxes: z.array(z.object({ name: z.string(), address: z.string(), availabilityZone: z.string() })),
    keepMs: z.number(),
    keyPrefix: z.string(),
  }),
  /** Run events that the receiver may not know yet. */
  message(MessageType.RunsTell, { events: z.array(runEventSchema) }),
  /** Requests all run events that the receiver knows. */
  message(MessageType.RunsPull, {}),
  message(MessageType.RunsContent, { events: z.array(runEventSchema) }),
  /** Reports of upstreams that closed connections without an answer, which the receiver may not know yet. */
  message(MessageType.UpstreamsTell, { reports: z.array(z.object({ id: z.string(), upstream: z.string(), box: z.string(), ageMs: durationMs })) }),
  /** Acquires a cost from the token bucket of an account that the receiver coordinates. */
  message(MessageType.AccountTake, {
    account: z.string(),
    cost: z.number().positive(),
    /** Whether the receiver is asked as stand-in, because the coordinator is unknown or does not answer. Boxes of earlier builds answer as coordinator. */
    standIn: z.boolean().optional(),
  }),
  message(MessageType.AccountTaken, {
    /** 0 if the cost was acquired, otherwise the time until it can be. */
    waitMs: durationMs,
    /** Share of the limit that the answering box grants as coordinator; 0 if it does not know the members yet. Boxes of earlier builds omit it. */
    share: z.number().nonnegative().optional(),
  }),
  /** Releases an acquired cost that was not used. */
  message(MessageType.AccountGiveBack, {
    account: z.string(),
    cost: z.number().positive(),
    /** Whether it was acquired from the receiver as stand-in. */
    standIn: z.boolean().optional(),
  }),
  /** Advertised states of upstreams that the receiver may not know yet. */
  message(MessageType.UpstreamStatesTell, { updates: z.array(upstreamStateUpdateSchema) }),
  /** Requests all advertised states that the receiver knows, and includes those of the sender. */
  message(MessageType.UpstreamStatesPull, { updates: z.array(upstreamStateUpdateSchema) }),
  message(MessageType.UpstreamStatesContent, { updates: z.array(upstreamStateUpdateSchema) }),
  /** Acquires permits from the token bucket of an upstream that the receiver coordinates. */
  message(MessageType.UpstreamTake, {
    upstream: z.string(),
    cost: z.number().positive(),
    /** The advertised limit as known to the sender. */
    said: upstreamStateUpdateSchema.optional(),
  }),
  message(MessageType.UpstreamTaken, {
    /** 0 if the permits were acquired, otherwise the time until they can be. */
    waitMs: durationMs,
  }),
  /** Releases acquired permits that were not used. */
  message(MessageType.UpstreamGiveBack, { upstream: z.string(), cost: z.number().positive() }),
  /** Asks the receiver, as the coordinator of a pool, which upstream may take a call. */
  message(MessageType.PoolAcquire, {
    pool: z.string(),
    call: poolCallSchema,
    /** The sender's calls in flight in the pool. Only in its first message to this coordinator. */
    running: z.array(runningPoolCallSchema).optional(),
  }),
  message(MessageType.PoolAcquired, { answer: poolAnswerSchema }),
  /** Reports the end of a call to the coordinator that counts it, or withdraws it from the queue. */
  message(MessageType.PoolRelease, {
    pool: z.string(),
    label: holdLabelSchema,
    outcome: z.enum(PoolCallOutcome),
    /** Time from sending the call to the head of its answer. Omitted if it was not answered. */
    durationMs: durationMs.optional(),
  }),
  /** Pools that are short of capacity, which the receiver may not know yet. */
  message(MessageType.PoolsTell, { shortages: z.array(poolShortageSchema) }),
  /** Asks the receiver to run a relayed request; opens a stream of `delegatedEvent`. */
  message(MessageType.Delegate, { request: delegatedRequestSchema, terms: delegationTermsSchema }),
  message(MessageType.DelegatedEvent, { event: delegatedEventSchema }),
  /** Tells how many bytes of a delegated run's answer were passed on so far. */
  message(MessageType.DelegatedRead, { runId: z.string(), totalBytes: z.number().int().nonnegative() }),
  /** Streams that began lately, for the receiver to remember. */
  message(MessageType.StreamOriginsTell, { origins: z.array(streamOriginSchema) }),
  /** Asks what the receiver knows of a stream that a client takes up. */
  message(MessageType.StreamOriginPull, {
    /** The attempt that brought its first event, if the client named it. */
    attempt: z.string().optional(),
    model: z.string(),
    /** Host and path of the request, which chose its route. Omitted by earlier builds. */
    host: z.string().optional(),
    path: z.string().optional(),
    /** How far back versions of the model's engines count. */
    withinMs: durationMs,
  }),
  message(MessageType.StreamOriginContent, {
    /** The version that began the stream. Omitted if the sender does not know it. */
    version: z.string().optional(),
    /** All versions of the model's engines that the sender has known in that time. */
    versions: z.array(z.string()),
    /** Time for which the sender has had lists that were up to date; 0 if its own is not. */
    coveredMs: durationMs,
    /** Software versions of engines that the sender saw running the attempt. */
    ranAt: z.array(z.string()).optional(),
    /** Whether the sender knows that the stream began at another model. */
    isOfOtherModel: z.boolean().optional(),
    /** Whether the request may have led to another model in that time. */
    mayHaveLedElsewhere: z.boolean().optional(),
    /** The longest deadline of a caller of the model that the sender has observed. Omitted by earlier builds. */
    longestDeadlineMs: durationMs.optional(),
  }),
  message(MessageType.StatusPull, {}),
  message(MessageType.StatusContent, { status: z.unknown() }),
  message(MessageType.Done, {}),
  message(MessageType.Failed, {
    code: z.enum(ErrorCode),
    verdict: z.enum(Verdict),
    text: z.string(),
    retryAfterMs: z.number().optional(),
  }),
])

export type PeerMessage = z.infer<typeof peerMessageSchema>
export type MessageOf<T extends MessageType> = Extract<PeerMessage, { type: T }>
