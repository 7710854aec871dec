import { createHash, type Hash } from 'node:crypto'
import { RequestKind, type RoutedRequest } from '@reelspan/core.messages'
import { type RelayedRequest } from '@reelspan/upstream.client'

/**
 * What the attempts of one request have in common, whatever their ids and whichever
 * box they reach. Hashes, since they are logged and told to other boxes.
 */
export interface RequestIdentity {
  /** What an upstream gets of it: path, parts of the prompt, body. */
  content: string
  /** Who sends it. */
  caller: string
}

/** Enough of a hash that two requests of a fleet do not share it by chance: 96 bits. */
const HASH_LENGTH = 16

/** Of a request that is relayed as it came. What may differ from attempt to attempt, such as estimates, is left out. */
export function identityOfRelayed ({ method, host, target, prompt, body, callerAddress }: RelayedRequest): RequestIdentity {
  const hash = createHash('sha256')
  hashParts(hash, [method, host, target])
  if (prompt) hashParts(hash, [prompt.model, ...prompt.prefixes.map(({ digest }) => digest)])
  return { content: truncatedDigest(hash.update(body)), caller: hashOf(callerAddress) }
}

/** Of a request of the project's own interface. */
export function identityOfRouted (request: RoutedRequest): RequestIdentity {
  const hash = createHash('sha256')
  if (request.kind === RequestKind.Completion) hashParts(hash, [request.kind, request.route, request.model, request.maxTokens, request.prompt])
  else hashParts(hash, [request.kind, request.route, request.method, request.path]).update(request.body)
  return { content: truncatedDigest(hash), caller: hashOf(request.client) }
}

/** Each part ends, so that no two lists of parts are hashed alike. */
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
