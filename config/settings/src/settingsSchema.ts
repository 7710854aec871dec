import { PickerKind } from '@reelspan/scheduling.owner-alone'
import { PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { z } from 'zod'

const address = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[\da-f:]+\]):\d{1,5}$/, 'expected an IP number and a port, such as "127.0.0.1:7101"')
const durationMs = z.number('expected a number of milliseconds').int('expected a whole number of milliseconds').positive('expected more than 0 ms')
const bytes = z.number('expected a number of bytes').int('expected a whole number of bytes').positive('expected more than 0 bytes')
const name = z.string('expected a name in quotes').min(1, 'expected a name')

/** How requests are placed. Only `scheduler` is for service; the others are kept as baselines to measure against. */
export const placementStrategySchema = z.enum(['scheduler', ...Object.values(PickerKind)])

export const settingsSchema = z.strictObject({
  box: z.strictObject({
    name,
    availabilityZone: name,
    /** Capacity of the machine against that of other boxes, about the cores that it has. Boxes with more of it do more of the work beside callers' requests. */
    room: z.number('expected a number').positive('expected more than 0').default(1),
  }),
  listen: z.strictObject({
    callerAddress: address,
    peerAddress: address,
    operatorAddress: address,
    /** File that holds the token operators must send when `operatorAddress` is not on loopback. */
    operatorTokenFile: z.string().optional(),
    /** Environment variable that holds it. */
    operatorTokenVariable: z.string().optional(),
  }),
  platform: z.strictObject({
    addresses: z.array(address).min(1, 'expected at least one address'),
    watchWaitMs: durationMs.default(20_000),
    backstopPollMs: durationMs.default(10_000),
    /** Longest wait between tries while the platform does not answer, on average. */
    longestBackoffMs: durationMs.default(5000),
    watchersPerAvailabilityZone: z.number().int().positive().default(2),
  }),
  membership: z.strictObject({
    probePeriodMs: durationMs.default(1000),
    probeTimeoutMs: durationMs.default(400),
    watchCount: z.number().int().positive().default(4),
    silentGoneMs: durationMs.default(600_000),
    /** Peer addresses of boxes to meet first, beside those that the platform lists. They may be out of date. */
    seedAddresses: z.array(address).default([]),
  }).prefault({}),
  requests: z.strictObject({
    /** Lookup answers may be kept for this long. */
    lookupKeepMs: durationMs.default(5000),
    /** Boxes that a lookup names. */
    lookupBoxes: z.number().int().positive().default(3),
    prefixLifeMs: durationMs.default(300_000),
    longestRequestMs: durationMs.default(120_000),
    /** A planned stop is over within this time, if whoever stops the process then ends it by force. */
    stopWithinMs: durationMs.optional(),
    recordBytes: bytes.default(64_000_000),
    rejoinGraceMs: durationMs.default(1000),
    upstreamTimeoutMs: durationMs.default(3000),
  }).prefault({}),
  limits: z.strictObject({
    headerBytes: bytes.default(16_384),
    bodyBytes: bytes.default(4_000_000),
    /** A caller that takes nothing of its answer for this long is cut off. */
    slowCallerMs: durationMs.default(10_000),
    /** A caller must have sent its whole request within this time. */
    requestReadMs: durationMs.default(10_000),
    /** Callers' connections. */
    connections: z.number().int().positive().default(5000),
    /** Connections with other boxes, in both directions. */
    peerConnections: z.number().int().min(2).default(4000),
    /** Connections to upstreams, where requests are relayed. */
    upstreamConnections: z.number().int().positive().default(4000),
  }).prefault({}),
  relay: z.strictObject({
    /** Retries that each relayed request adds to what its pool may get. */
    retriesPerRequest: z.number().nonnegative().default(0.1),
    /** Retries that all boxes together may make at once in each pool, beside those. */
    retryBurst: z.number().nonnegative().default(20),
  }).prefault({}),
  accounts: z.strictObject({
    /** Requests need a client account's key also while no account is declared: a configuration without any opens nothing. */
    required: z.boolean('expected true or false').default(false),
    /** A key that was taken away works no longer than this, on any box. Without it a box takes keyed requests by whatever configuration it has. */
    keyProofMs: durationMs.optional(),
    /** Limits are judged over any span of this length. */
    limitWindowMs: durationMs.default(8000),
    /** Part of a limit by which the boxes together may go beyond it. */
    limitOverage: z.number('expected a number').nonnegative('expected 0 or more').max(1, 'expected 1 or less').default(0),
    /** What may come on top of that, in units of the limit. */
    limitSlack: z.number('expected a number').nonnegative('expected 0 or more').default(0),
  }).prefault({}),
  scheduling: z.strictObject({
    strategy: placementStrategySchema.default('scheduler'),
    prefixIndex: z.enum(PrefixIndexKind).default(PrefixIndexKind.Events),
    /** For baselines: refuse what would be late. */
    admission: z.boolean().default(true),
    /** For baselines: count own placements since the last report. */
    countOwn: z.boolean().default(true),
    reportPeriodMs: durationMs.default(1000),
    /** Part of a decode engine that an owner uses while no scheduler can be reached. */
    fallbackPlacesPercent: z.number().min(1).max(100).default(50),
    orderRightMs: durationMs.default(3000),
    /** Engines are told to prefill or to decode as the load needs it. Pools bound it by `minReadyEngines`. */
    rolesFollowLoad: z.boolean().default(false),
  }).prefault({}),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  }).prefault({}),
})

/** A box's settings, checked, with defaults filled in. */
export type Settings = z.infer<typeof settingsSchema>
