import { z } from 'zod'

export enum PoolRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Service = 'service',
}

export enum RolloutState {
  Running = 'running',
  /** No further engines are ordered to change; the others keep their version. */
  Paused = 'paused',
  /** Engines return to the model's own version. */
  Back = 'back',
}

export enum KvReservation {
  /** Reserves memory for the longest answer, for engines that fail when they run out of memory. */
  Most = 'most',
  /** Reserves memory for a typical answer, for engines that preempt a request when they run out of memory. */
  Usual = 'usual',
}

export enum LimitUnit {
  Requests = 'requests',
  /** Tokens of the prompt plus the maximum of the answer. */
  Tokens = 'tokens',
}

export enum RouteObjective {
  /** Prefer requests that end within both latency targets. */
  Goodput = 'goodput',
  /** Prefer to avoid prefill work that may be wasted. */
  WastedPrefill = 'wastedPrefill',
}

const positiveInt = z.number().int().positive()
const name = z.string().min(1)

export const modelSpecSchema = z.strictObject({
  /** The version that engines are ordered to serve. If omitted, they keep their version and no orders are sent. */
  version: name.optional(),
  prefillPool: name,
  decodePool: name,
  kvBytesPerToken: positiveInt,
  /** Initial estimate of a prefill engine's speed. */
  prefillTokensPerSecond: z.number().positive(),
  /** Initial estimate of how fast a decode engine computes a prompt itself, between the tokens of its streams. If omitted, decode engines cannot compute prompts. */
  decodePrefillTokensPerSecond: z.number().positive().optional(),
  /** Fixed cost of a prefill. */
  prefillBaseMs: z.number().nonnegative().default(5),
  /** Part of a prefill's duration during which its engine already computes the next ones. */
  prefillLatencyMs: z.number().nonnegative().default(0),
  /** Number of tokens in one event of an answer. */
  tokensPerEvent: positiveInt.default(1),
  /** Time of one decode step: base plus a part for each running request. */
  decodeStepBaseMs: z.number().positive(),
  decodeStepPerRequestMs: z.number().nonnegative(),
  /** How long an engine keeps a prefill result that is not exported. */
  prefillResultLifeMs: positiveInt.default(800),
  /** The model's name at the engines, if it differs. */
  servedName: name.optional(),
})

export const poolSpecSchema = z.strictObject({
  role: z.enum(PoolRole),
  /** Number of requests that one decode engine runs concurrently. */
  placesPerEngine: positiveInt.default(20),
  kvBytesPerEngine: positiveInt.default(16_000_000_000),
  /** Rate of one engine's link to the other pool. */
  linkBytesPerSecond: positiveInt.default(1_250_000_000),
  /** Minimum number of engines in service while orders are carried out. */
  minReadyEngines: z.number().int().nonnegative().default(0),
  /** A pool with more engines is divided into several shards. */
  maxEnginesPerShard: positiveInt.max(64).default(64),
  kvReservation: z.enum(KvReservation).default(KvReservation.Most),
  /** Maximum number of connections that one upstream accepts from all boxes together. */
  maxConnections: positiveInt.optional(),
})

/** The destination of a share of a route's requests. */
const routeTargetSchema = z.strictObject({
  model: name.optional(),
  pool: name.optional(),
  weight: z.number().nonnegative().default(1),
})

export const routeSpecSchema = z.strictObject({
  /** The model that serves the route. A route has either a model or a service pool. */
  model: name.optional(),
  pool: name.optional(),
  /** Instead of `model` or `pool`: models or service pools that share the route's requests by weight. */
  targets: z.array(routeTargetSchema).min(1).optional(),
  /** Restricts the route to requests for this host. They are relayed unmodified. */
  host: name.optional(),
  /** The answer is a stream of events. */
  streaming: z.boolean().default(false),
  /** An interrupted answer may be resumed at another upstream. */
  resumable: z.boolean().default(false),
  /** Maximum number of upstreams that one request is sent to. */
  maxAttempts: positiveInt.default(1),
  /** 0 is the most urgent. */
  urgency: z.number().int().nonnegative().default(5),
  /** For a service pool: the method of the calls that the route accepts. */
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']).optional(),
  pathPrefix: z.string().regex(/^\/[^?#\s]*$/, 'a path that starts with /').optional(),
  /** Each call may run at most once. */
  notRepeatable: z.boolean().default(false),
  /** Accepts requests without a client account's key. */
  open: z.boolean().default(false),
  ttftTargetMs: z.number().positive().default(390),
  tbtTargetMs: z.number().positive().default(76),
  deadlineMs: positiveInt.max(600_000).default(30_000),
  objective: z.enum(RouteObjective).default(RouteObjective.Goodput),
  /** Share of the pool's capacity that the route may use, if others use the rest without reelspan. */
  poolSharePercent: z.number().min(1).max(100).default(100),
  /** Weights of client accounts in overload. An account that is not listed has weight 1. */
  clientWeights: z.record(z.string(), z.number().positive()).default({}),
})

export const rolloutSpecSchema = z.strictObject({
  model: name,
  toVersion: name,
  /** Percentage of each pool's engines that get the new version. */
  enginePercent: z.number().min(0).max(100),
  /** Maximum number of a pool's engines that are out of service at once during the rollout. */
  maxUnavailable: positiveInt.default(1),
  state: z.enum(RolloutState).default(RolloutState.Running),
})

/** Limits on the size and duration of callers' requests. */
export const callerLimitsSpecSchema = z.strictObject({
  headerBytes: positiveInt.default(16_384),
  bodyBytes: positiveInt.default(4_000_000),
  headerReadMs: positiveInt.default(10_000),
  /** A connection that is idle for longer may be closed. */
  idleMs: positiveInt.default(15_000),
})

/** The rate limit of an account over all boxes. */
const accountLimitSchema = z.strictObject({
  unit: z.enum(LimitUnit).default(LimitUnit.Requests),
  perSecond: z.number().positive(),
  /** Burst above the rate. */
  burst: z.number().nonnegative().default(0),
  /** Cost of a request without a declared size, in units. */
  unsizedCost: z.number().positive().default(1),
})

export const accountSpecSchema = z.strictObject({
  /** SHA-256 of each key, in hex. The keys themselves are never declared. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hex digits, the SHA-256 of a key')).default([]),
  /** Overrides the urgency of the route. 0 is the most urgent. */
  urgency: z.number().int().nonnegative().optional(),
  /** If omitted, the account is limited only by the capacity of the engines. */
  limit: accountLimitSchema.optional(),
})

export type AccountLimit = z.infer<typeof accountLimitSchema>
export type AccountSpec = z.infer<typeof accountSpecSchema>
export type RouteTarget = z.infer<typeof routeTargetSchema>
export type CallerLimitsSpec = z.infer<typeof callerLimitsSpecSchema>
export type ModelSpec = z.infer<typeof modelSpecSchema>
export type PoolSpec = z.infer<typeof poolSpecSchema>
export type RouteSpec = z.infer<typeof routeSpecSchema>
export type RolloutSpec = z.infer<typeof rolloutSpecSchema>
