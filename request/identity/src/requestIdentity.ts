import { createHash, type Hash } from 'node:crypto'
import { RequestKind, type RoutedRequest } from '@reelspan/core.messages'
import { type RelayedRequest } from '@reelspan/upstream.client'

/**
 * Identifies the attempts of one request, which have different ids and may reach different
 * boxes. The fields are hashes, since they are logged and sent to other boxes.
 */
export interface RequestIdentity {
  /** Hash of what an upstream receives: path, prompt prefixes and body. */
  content: string
  /** Hash of the caller. */
  caller: string
}

/** Base64url characters of a hash: 96 bits make collisions within a fleet negligible. */
const HASH_LENGTH = 16

/** Identity of a request that is relayed unchanged. Leaves out what may differ between attempts, such as estimates. */
export function identityOfRelayed ({ method, host, target, prompt, body, callerAddress }: RelayedRequest): RequestIdentity {
  const hash = createHash('sha256')
  hashParts(hash, [method, host, target])
  if (prompt) hashParts(hash, [prompt.model, ...prompt.prefixes.map(({ digest }) => digest)])
  return { content: truncatedDigest(hash.update(body)), caller: hashOf(callerAddress) }
}

/** Identity of a request that came through the native API. */
export function identityOfRouted (request: RoutedRequest): RequestIdentity {
  const hash = createHash('sha256')
  if (request.kind === RequestKind.Completion) hashParts(hash, [request.kind, request.route, request.model, request.maxTokens, request.prompt])
  else hashParts(hash, [request.kind, request.route, request.method, request.path]).update(request.body)
  return { content: truncatedDigest(hash), caller: hashOf(request.client) }
}

/** Terminates each part with a NUL byte, so that different lists of parts have different hashes. */
function hashParts (hash: Hash, parts: readonly (string | number)[]): Hash {
  parts.forEach((part) => hash.update(`${part}\0`))
  return hash
}

function hashOf (text: string): string {
  return truncatedDigest(createHash('sha256').update(text))
}

function truncatedDigest (hash: Hash): string {
  return hash.digest('base64url').slice(0, HASH_LENGTH)
}
