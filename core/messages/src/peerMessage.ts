import { ErrorCode, Verdict } from '@reelspan/core.error'
import { z } from 'zod'
import { answerEventSchema } from './answer.js'
import { holdLabelSchema } from './holdLabel.js'
import { upstreamStateUpdateSchema } from './upstreamStateUpdate.js'
import { memberSchema } from './member.js'
import { placementAnswerSchema, placementPlanSchema, placementReportSchema, reserveRequestSchema } from './placement.js'
import { requestSchema } from './request.js'
import { runEventSchema } from './runEvent.js'
import { engineOutcomeSchema } from './upstreamOutcome.js'

/**
 * Version of the messages between boxes. Fields are only added, as optional
 * ones; a reader drops fields that it does not know. The version is raised
 * when that is not enough, and a box speaks this version and the one before.
 */
export const PROTOCOL_VERSION = 1

/** The two revisioned lists that the platform publishes. */
export enum Collection {
  /** Routes, pools, models and rollouts. */
  Declarations = 'declarations',
  /** Boxes and upstreams, live and leaving. It lags behind reality. */
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
  StatusPull = 'statusPull',
  StatusContent = 'statusContent',
  Done = 'done',
  Failed = 'failed',
}

const message = <T extends MessageType, S extends z.ZodRawShape>(type: T, shape: S) =>
  z.object({ type: z.literal(type), ...shape })

/** How the sender numbers revisions. Boxes of earlier releases, which do not tell, compare the platform store's own, which go back. */
export enum RevisionNumbering {
  /** Declarations by their operator's version, the list by the store's era and revision. */
  ByVersionAndEra = 'byVersionAndEra',
}

const revision = z.number().int().nonnegative()
const numbering = z.enum(RevisionNumbering).optional()
const durationMs = z.number().nonnegative()

const newsShape = {
  self: memberSchema,
  /** Changes to other members that the receiver may not know yet. */
  news: z.array(memberSchema),
  /** Digest of the sender's whole view. */
  digest: z.number(),
  /** The revisions in force at the sender. */
  revisions: z.object({ [Collection.Declarations]: revision, [Collection.Fleet]: revision }),
  numbering,
  /** Requests that the sender holds at the moment. */
  inFlight: z.number().int().nonnegative(),
  /** How long ago anyone was in contact with the platform, as far as the sender knows. A wait there counts until it fails. */
  platformSilentMs: durationMs.optional(),
  /** How long ago the platform answered anyone, and since when it has without a longer absence. Boxes of earlier releases do not tell. */
  platformAnsweredMs: durationMs.optional(),
  platformAnsweringMs: durationMs.optional(),
  /** In an answer: how long before its question the one who asks was last heard of here. */
  heardAgoMs: durationMs.optional(),
  /** Digest of the run events that the sender knows. Left out when it knows of none. */
  runsDigest: z.number().optional(),
  /** Digest of the advertised states that the sender knows. Left out when it knows of none. */
  upstreamStatesDigest: z.number().optional(),
  /** In an answer: what the sender can prove of its configuration. */
  proof: z.object({ revision, ageMs: durationMs }).optional(),
}

/** What is known of the platform's answering, counted back from now. */
export interface PlatformAnswering {
  /** Since anyone was in contact. A wait that has not failed is contact. */
  silentMs: number
  /** Since the last answer. */
  answeredMs: number
  /** Since the first answer after the last absence. */
  answeringMs: number
}

/** A resource as it travels: its kind, name, the revision of its last change, and its spec, or null once deleted. */
const resourceChangeSchema = z.object({
  kind: z.string(),
  name: z.string(),
  revision,
  spec: z.unknown(),
})

export const peerMessageSchema = z.discriminatedUnion('type', [
  message(MessageType.Heartbeat, { ...newsShape, expectedIncarnation: z.string().optional() }),
  message(MessageType.HeartbeatAck, newsShape),
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
    /** Of the content in force at the asking side. */
    digest: z.string().optional(),
  }),
  message(MessageType.ConfigContent, {
    revision,
    numbering,
    /** The content is all there is, instead of the changes since the asked revision. */
    full: z.boolean(),
    changes: z.array(resourceChangeSchema),
    /** Of the content that changes lead to. Whoever has got another one asks for all of it. */
    digest: z.string().optional(),
    /** Where the platform's feed of changes goes on behind the content. */
    position: z.object({ era: revision, revision }).optional(),
  }),
  message(MessageType.Reserve, { request: reserveRequestSchema }),
  message(MessageType.ReserveAnswer, { answer: placementAnswerSchema }),
  message(MessageType.ReleaseReservation, {
    shardId: z.string(),
    label: holdLabelSchema,
    /** Absent when the request did not finish. */
    report: placementReportSchema.optional(),
    /** How the calls to its engines ended. */
    outcomes: z.array(engineOutcomeSchema).optional(),
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
    /** With the last part: the incarnations whose records are now all handed over, and their clocks. */
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
  /** Asks for all run events that the receiver knows. */
  message(MessageType.RunsPull, {}),
  message(MessageType.RunsContent, { events: z.array(runEventSchema) }),
  /** Reports of upstreams that closed connections without an answer, which the receiver may not know yet. */
  message(MessageType.UpstreamsTell, { reports: z.array(z.object({ id: z.string(), upstream: z.string(), box: z.string(), ageMs: durationMs })) }),
  /** Takes a cost from the limit of an account whose bucket the receiver keeps. */
  message(MessageType.AccountTake, { account: z.string(), cost: z.number().positive() }),
  message(MessageType.AccountTaken, {
    /** 0 when it is taken, else how long until it could be. */
    waitMs: durationMs,
  }),
  /** What was taken was not used. */
  message(MessageType.AccountGiveBack, { account: z.string(), cost: z.number().positive() }),
  /** Advertised states of upstreams that the receiver may not know yet. */
  message(MessageType.UpstreamStatesTell, { updates: z.array(upstreamStateUpdateSchema) }),
  /** Asks for all advertised states that the receiver knows, and carries those of the sender. */
  message(MessageType.UpstreamStatesPull, { updates: z.array(upstreamStateUpdateSchema) }),
  message(MessageType.UpstreamStatesContent, { updates: z.array(upstreamStateUpdateSchema) }),
  /** Takes permits from the limit of an upstream whose bucket the receiver keeps. */
  message(MessageType.UpstreamTake, {
    upstream: z.string(),
    cost: z.number().positive(),
    /** The limit as the sender knows it. */
    said: upstreamStateUpdateSchema.optional(),
  }),
  message(MessageType.UpstreamTaken, {
    /** 0 when they are taken, else how long until they could be. */
    waitMs: durationMs,
  }),
  /** Permits that were taken were not used. */
  message(MessageType.UpstreamGiveBack, { upstream: z.string(), cost: z.number().positive() }),
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
