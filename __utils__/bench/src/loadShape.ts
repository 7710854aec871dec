import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { type Random } from '@reelspan/core.env'
import { promptFor } from '@reelspan/utils.fakes'
import { parse } from 'smol-toml'
import { z } from 'zod'

const count = z.number().int().positive()

const shapeSchema = z.strictObject({
  model: z.string(),
  ttftTargetMs: z.number().positive(),
  tbtTargetMs: z.number().positive(),
  /** Requests a second that count as load 1. */
  baseRequestsPerSecond: z.number().positive(),
  /** Shared prefixes, and how unevenly they are asked for: 0 is evenly. */
  sharedPrefixes: count,
  sharedTokens: count,
  popularitySkew: z.number().nonnegative(),
  /** What each request adds to the shared part. */
  ownTokensMin: count,
  ownTokensMax: count,
  answerTokensMin: count,
  answerTokensMax: count,
  /** Tokens that each request allows. */
  maxTokens: count,
  clients: count,
})

/** What requests look like. Lengths are in tokens. */
export type LoadShape = z.infer<typeof shapeSchema>

/** Reads one of the shapes in `shapes/`: `tuul` or `magnolia`. */
export function readShape (name: string): LoadShape {
  return shapeSchema.parse(parse(readFileSync(join(import.meta.dirname, '..', 'shapes', `${name}.toml`), 'utf8')))
}

export interface LoadRequest {
  atMs: number
  id: string
  prompt: string
  maxTokens: number
  client: string
  /** Tokens that it shares with others. */
  sharedTokens: number
  answerTokens: number
}

const CHARS_PER_TOKEN = 4

/** Requests with exponential times between arrivals, the same for the same seed. */
export function drawLoad (random: Random, shape: LoadShape, opts: { requestsPerSecond: number, durationMs: number, name: string }): LoadRequest[] {
  const weights = Array.from({ length: shape.sharedPrefixes }, (_, i) => (i + 1) ** -shape.popularitySkew)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const requests: LoadRequest[] = []
  for (let atMs = gapMs(random, opts.requestsPerSecond); atMs < opts.durationMs; atMs += gapMs(random, opts.requestsPerSecond)) {
    const id = `${opts.name}-${requests.length}`
    const shared = sharedText(pickWeighted(random, weights, total), shape.sharedTokens)
    const own = 'x'.repeat(CHARS_PER_TOKEN * between(random, shape.ownTokensMin, shape.ownTokensMax))
    const answerTokens = between(random, shape.answerTokensMin, shape.answerTokensMax)
    requests.push({
      atMs,
      id,
      prompt: promptFor(id, { shared: `${shared}${id} ${own}`, answerTokens }),
      maxTokens: shape.maxTokens,
      client: `client-${random.nextInt(shape.clients)}`,
      sharedTokens: shape.sharedTokens,
      answerTokens,
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
