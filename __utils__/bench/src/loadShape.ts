import { type Random } from '@reelspan/core.env'
import { promptFor } from '@reelspan/utils.fakes'

/** What requests look like. Lengths are in tokens. */
export interface LoadShape {
  model: string
  /** Shared prefixes, and how unevenly they are asked for: 0 is evenly. */
  sharedPrefixes: number
  sharedTokens: number
  popularitySkew: number
  /** What each request adds to the shared part. */
  ownTokensMin: number
  ownTokensMax: number
  answerTokensMin: number
  answerTokensMax: number
  /** Allowed tokens, as a multiple of what is generated at most. */
  maxTokens: number
  clients: number
}

export interface LoadRequest {
  atMs: number
  id: string
  prompt: string
  maxTokens: number
  client: string
}

const CHARS_PER_TOKEN = 4

/** Tuul's drafts: house guidance and campaign briefs are shared, answers are short. */
export const TUUL_SHAPE: LoadShape = {
  model: 'draft',
  sharedPrefixes: 60,
  sharedTokens: 1200,
  popularitySkew: 0.8,
  ownTokensMin: 80,
  ownTokensMax: 400,
  answerTokensMin: 10,
  answerTokensMax: 60,
  maxTokens: 64,
  clients: 12,
}

/** Magnolia's trip summaries: long packets, each asked about a few times. */
export const MAGNOLIA_SHAPE: LoadShape = {
  model: 'draft',
  sharedPrefixes: 400,
  sharedTokens: 1600,
  popularitySkew: 0.3,
  ownTokensMin: 50,
  ownTokensMax: 300,
  answerTokensMin: 30,
  answerTokensMax: 120,
  maxTokens: 128,
  clients: 6,
}

/** Requests with exponential times between arrivals, the same for the same seed. */
export function drawLoad (random: Random, shape: LoadShape, opts: { requestsPerSecond: number, durationMs: number, name: string }): LoadRequest[] {
  const weights = Array.from({ length: shape.sharedPrefixes }, (_, i) => (i + 1) ** -shape.popularitySkew)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const requests: LoadRequest[] = []
  for (let atMs = gapMs(random, opts.requestsPerSecond); atMs < opts.durationMs; atMs += gapMs(random, opts.requestsPerSecond)) {
    const id = `${opts.name}-${requests.length}`
    const shared = sharedText(pickWeighted(random, weights, total), shape.sharedTokens)
    const own = 'x'.repeat(CHARS_PER_TOKEN * between(random, shape.ownTokensMin, shape.ownTokensMax))
    requests.push({
      atMs,
      id,
      prompt: promptFor(id, { shared: `${shared}${id} ${own}`, answerTokens: between(random, shape.answerTokensMin, shape.answerTokensMax) }),
      maxTokens: shape.maxTokens,
      client: `client-${random.nextInt(shape.clients)}`,
    })
  }
  return requests
}

function gapMs (random: Random, perSecond: number): number {
  return -Math.log(1 - random.nextFloat()) * 1000 / perSecond
}

function between (random: Random, min: number, max: number): number {
  return min + random.nextInt(max - min + 1)
}

function pickWeighted (random: Random, weights: readonly number[], total: number): number {
  let left = random.nextFloat() * total
  return Math.max(0, weights.findIndex((weight) => (left -= weight) <= 0))
}

function sharedText (index: number, tokens: number): string {
  const word = `guidance ${index} `
  return word.repeat(Math.ceil(tokens * CHARS_PER_TOKEN / word.length)).slice(0, tokens * CHARS_PER_TOKEN)
}
