import { z } from 'zod'

export enum PoolRole {
  Prefill = 'prefill',
  Decode = 'decode',
  Service = 'service',
}

export enum RolloutState {
  Running = 'running',
  /** Nothing more is ordered; what was reached stays. */
  Paused = 'paused',
  /** Engines return to the model's own version. */
  Back = 'back',
}

export enum KvReservation {
  /** Memory for the longest answer is reserved. For engines that fail when they run out of it. */
  Most = 'most',
  /** Memory for the usual answer is reserved. For engines that put a request back when they run out of it. */
  Usual = 'usual',
}

export enum LimitUnit {
  Requests = 'requests',
  /** Tokens of the prompt and the most that the answer may have. */
  Tokens = 'tokens',
}

export enum RouteObjective {
  /** Prefer requests that end within both latency targets. */
  Goodput = 'goodput',
  /** Prefer not to spend prefill work that may come to nothing. */
  WastedPrefill = 'wastedPrefill',
}

const positiveInt = z.number().int().positive()
const name = z.string().min(1)

export const modelSpecSchema = z.strictObject({
  /** The version that engines are brought to. Without it they keep what they serve, and no orders are given. */
  version: name.optional(),
  prefillPool: name,
  decodePool: name,
  kvBytesPerToken: positiveInt,
  /** First guess of a prefill engine's speed. */
  prefillTokensPerSecond: z.number().positive(),
  /** First guess of how fast a decode engine computes a prompt itself, between the tokens of its streams. Without it, decode engines cannot. */
  decodePrefillTokensPerSecond: z.number().positive().optional(),
  /** Fixed cost of a prefill. */
  prefillBaseMs: z.number().nonnegative().default(5),
  /** Part of a prefill's time in which its engine computes others already. */
  prefillLatencyMs: z.number().nonnegative().default(0),
  /** Tokens that one event of an answer holds. */
  tokensPerEvent: positiveInt.default(1),
  /** Time of one decode step: base plus a part for each running request. */
  decodeStepBaseMs: z.number().positive(),
  decodeStepPerRequestMs: z.number().nonnegative(),
  /** How long a prefill result waits for its export before the engine drops it. */
  prefillResultLifeMs: positiveInt.default(800),
  /** What engines call the model, when that is not its name here. */
  servedName: name.optional(),
})

export const poolSpecSchema = z.strictObject({
  role: z.enum(PoolRole),
  /** Running requests that one decode engine takes. */
  placesPerEngine: positiveInt.default(20),
  kvBytesPerEngine: positiveInt.default(16_000_000_000),
  /** Rate of one engine's link to the other pool. */
  linkBytesPerSecond: positiveInt.default(1_250_000_000),
  /** Engines that must stay in service while orders are carried out. */
  minReadyEngines: z.number().int().nonnegative().default(0),
  /** A pool with more engines is cut into several shards. */
  maxEnginesPerShard: positiveInt.max(64).default(64),
  kvReservation: z.enum(KvReservation).default(KvReservation.Most),
  /** Connections that one upstream accepts from all boxes together. */
  maxConnections: positiveInt.optional(),
})

/** Where a part of a route's requests goes. */
const routeTargetSchema = z.strictObject({
  model: name.optional(),
  pool: name.optional(),
  weight: z.number().nonnegative().default(1),
})

export const routeSpecSchema = z.strictObject({
  /** The model that answers. A route has either a model or a service pool. */
  model: name.optional(),
  pool: name.optional(),
  /** In place of the two above: models or service pools that share the route's requests by weight. */
  targets: z.array(routeTargetSchema).min(1).optional(),
  /** The route takes requests for this host alone. Such requests are relayed as they are. */
  host: name.optional(),
  /** The answer is a stream of events. */
  streaming: z.boolean().default(false),
  /** An answer that broke off may be taken up at another upstream. */
  resumable: z.boolean().default(false),
  /** Upstreams that one request may be sent to. */
  maxAttempts: positiveInt.default(1),
  /** 0 is the most urgent. */
  urgency: z.number().int().nonnegative().default(5),
  /** For a service pool: which calls the route takes. */
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']).optional(),
  pathPrefix: z.string().regex(/^\/[^?#\s]*$/, 'a path that starts with /').optional(),
  /** Each call may run at most once. */
  notRepeatable: z.boolean().default(false),
  /** Takes requests without a client account's key. */
  open: z.boolean().default(false),
  ttftTargetMs: z.number().positive().default(390),
  tbtTargetMs: z.number().positive().default(76),
  deadlineMs: positiveInt.max(600_000).default(30_000),
  objective: z.enum(RouteObjective).default(RouteObjective.Goodput),
  /** Part of the pool's capacity that the route may use, while others use the rest beside reelspan. */
  poolSharePercent: z.number().min(1).max(100).default(100),
  /** Weights of client accounts in overload. An account that is not named has weight 1. */
  clientWeights: z.record(z.string(), z.number().positive()).default({}),
})

export const rolloutSpecSchema = z.strictObject({
  model: name,
  toVersion: name,
  /** Engines, in percent of each pool, that get the new version. */
  enginePercent: z.number().min(0).max(100),
  /** Engines of a pool that may be out of service for it at once. */
  maxUnavailable: positiveInt.default(1),
  state: z.enum(RolloutState).default(RolloutState.Running),
})

/** What callers may send and how long they may take. */
export const callerLimitsSpecSchema = z.strictObject({
  headerBytes: positiveInt.default(16_384),
  bodyBytes: positiveInt.default(4_000_000),
  headerReadMs: positiveInt.default(10_000),
  /** A connection that rests for longer may be closed. */
  idleMs: positiveInt.default(15_000),
})

/** What an account may ask of all boxes together. */
const accountLimitSchema = z.strictObject({
  unit: z.enum(LimitUnit).default(LimitUnit.Requests),
  perSecond: z.number().positive(),
  /** What may be asked at once above the rate. */
  burst: z.number().nonnegative().default(0),
  /** What a request without a declared size counts, in units. */
  unsizedCost: z.number().positive().default(1),
})

export const accountSpecSchema = z.strictObject({
  /** SHA-256 of each key, in hex. Keys themselves are declared nowhere. */
  keyDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 hex digits, the SHA-256 of a key')).default([]),
  /** Goes before that of the route. 0 is the most urgent. */
  urgency: z.number().int().nonnegative().optional(),
  /** Without it, the account may ask whatever the engines bear. */
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
