import { PickerKind } from '@reelspan/scheduling.owner-alone'
import { PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { z } from 'zod'

const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[\da-f:]+\]):\d{1,5}$/, 'expected an IP number and a port, such as "127.0.0.1:7101"')
const durationMs = z.number('expected a number of milliseconds').int('expected a whole number of milliseconds').positive('expected more than 0 ms')
const bytes = z.number('expected a number of bytes').int('expected a whole number of bytes').positive('expected more than 0 bytes')
const name = z.string('expected a name in quotes').min(1, 'expected a name')

/** How requests are placed. Only `scheduler` is for production; the others are baselines for measurements. */
export const placementStrategySchema = z.enum(['scheduler', ...Object.values(PickerKind)])

/** Requests ahead for each connection that callers may open. Each of them may take a connection to an upstream. */
const AHEAD_SHARE = 0.25

export const settingsSchema = z.strictObject({
  box: z.strictObject({
    name,
    availabilityZone: name,
    /** Capacity of the machine relative to other boxes, about its number of cores. Boxes with more capacity do more of the work besides callers' requests. */
    room: z.number('expected a number').positive('expected more than 0').default(1),
  }),
  listen: z.strictObject({
    callerAddress: address,
    peerAddress: address,
    operatorAddress: address,
    /** File with the token that operators must send when `operatorAddress` is not on loopback. */
    operatorTokenFile: z.string().optional(),
    /** Environment variable with that token. */
    operatorTokenVariable: z.string().optional(),
  }),
  platform: z.strictObject({
    addresses: z.array(address).min(1, 'expected at least one address'),
    watchWaitMs: durationMs.default(20_000),
    backstopPollMs: durationMs.default(10_000),
    /** Average of the longest backoff between reads while the platform does not answer. */
    longestBackoffMs: durationMs.default(5000),
    watchersPerAvailabilityZone: z.number().int().positive().default(2),
  }),
  membership: z.strictObject({
    probePeriodMs: durationMs.default(1000),
    probeTimeoutMs: durationMs.default(400),
    watchCount: z.number().int().positive().default(4),
    silentGoneMs: durationMs.default(600_000),
    /** Peer addresses of boxes to contact first, in addition to those that the platform lists. They may be out of date. */
    seedAddresses: z.array(address).default([]),
  }).prefault({}),
  requests: z.strictObject({
    /** How long callers may cache lookup answers. */
    lookupKeepMs: durationMs.default(5000),
    /** Number of boxes in a lookup answer. */
    lookupBoxes: z.number().int().positive().default(3),
    prefixLifeMs: durationMs.default(300_000),
    longestRequestMs: durationMs.default(120_000),
    /** Maximum duration of a planned stop, for supervisors that kill the process after that time. */
    stopWithinMs: durationMs.optional(),
    recordBytes: bytes.default(64_000_000),
    rejoinGraceMs: durationMs.default(1000),
    upstreamTimeoutMs: durationMs.default(3000),
  }).prefault({}),
  limits: z.strictObject({
    headerBytes: bytes.default(16_384),
    bodyBytes: bytes.default(4_000_000),
    /** What the box buffers of all answers that callers have not read yet. Beyond it, upstreams are read no faster than callers read. */
    answerBytes: bytes.default(32_000_000),
    /** What the bodies of all requests in flight may take. */
    requestBytes: bytes.default(32_000_000),
    /** A caller that reads nothing of its answer for this long is disconnected. */
    slowCallerMs: durationMs.default(10_000),
    /** A caller must have sent the body of its request within this time from the end of its head. */
    requestReadMs: durationMs.default(10_000),
    /** Maximum number of callers' connections. */
    connections: z.number().int().positive().default(5000),
    /** Requests that callers may have in progress on all connections together, besides the first one of each connection. A part of `connections` if omitted. */
    requestsAhead: z.number('expected a number').int('expected a whole number').nonnegative('expected 0 or more').optional(),
    /** Maximum number of connections with other boxes, in both directions. */
    peerConnections: z.number().int().min(2).default(4000),
    /** Maximum number of connections to upstreams for relayed requests. */
    upstreamConnections: z.number().int().positive().default(4000),
  }).transform((limits) => ({ ...limits, requestsAhead: limits.requestsAhead ?? Math.ceil(AHEAD_SHARE * limits.connections) })).prefault({}),
  relay: z.strictObject({
    /** Retries that each relayed request adds to the retry budget of its pool. */
    retriesPerRequest: z.number().nonnegative().default(0.1),
    /** Additional burst of retries in each pool, for all boxes together. */
    retryBurst: z.number().nonnegative().default(20),
  }).prefault({}),
  accounts: z.strictObject({
    /** Requests need a client account's key even while no account is declared, so that an empty configuration grants no access. */
    required: z.boolean('expected true or false').default(false),
    /** Maximum time for which a revoked key still works on any box. If omitted, a box accepts keyed requests by its current configuration, however old. */
    keyProofMs: durationMs.optional(),
    /** Limits are evaluated over any interval of this length. */
    limitWindowMs: durationMs.default(8000),
    /** Share of a limit by which all boxes together may exceed it. */
    limitOverage: z.number('expected a number').nonnegative('expected 0 or more').max(1, 'expected 1 or less').default(0),
    /** Additional excess, in units of the limit. */
    limitSlack: z.number('expected a number').nonnegative('expected 0 or more').default(0),
  }).prefault({}),
  scheduling: z.strictObject({
    strategy: placementStrategySchema.default('scheduler'),
    prefixIndex: z.enum(PrefixIndexKind).default(PrefixIndexKind.Events),
    /** For baselines: whether to refuse requests that would be late. */
    admission: z.boolean().default(true),
    /** For baselines: whether to count own placements since the last report. */
    countOwn: z.boolean().default(true),
    reportPeriodMs: durationMs.default(1000),
    /** Share of a decode engine's slots that an owner uses while no scheduler can be reached. */
    fallbackPlacesPercent: z.number().min(1).max(100).default(50),
    orderRightMs: durationMs.default(3000),
    /** Switches engines between prefill and decode according to the load, within the pools' `minReadyEngines`. */
    rolesFollowLoad: z.boolean().default(false),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  }).prefault({}),
})

/** The validated settings of a box, with defaults applied. */
export type Settings = z.infer<typeof settingsSchema>
