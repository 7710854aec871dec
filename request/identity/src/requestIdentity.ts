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
  /** Hashes of the prompt parts that other requests may share, in order. Absent if the prompt declares none. */
  parts?: readonly string[]
}

/** Base64url characters of a hash: 96 bits make collisions within a fleet negligible. */
const HASH_LENGTH = 16

/** Bounds what a request makes boxes store and exchange about its prompt. */
const MAX_SHARED_PARTS = 32

/** Identity of a request that is relayed unchanged. Leaves out what may differ between attempts, such as estimates. */
export function identityOfRelayed ({ method, host, target, prompt, body, callerAddress }: RelayedRequest): RequestIdentity {
  const hash = createHash('sha256')
  hashParts(hash, [method, host, target])
  if (prompt) hashParts(hash, [prompt.model, ...prompt.prefixes.map(({ digest }) => digest)])
  const parts = sharedPartsOf(prompt).map((part) => hashOfPart(prompt?.model as string, part))
  return { content: truncatedDigest(hash.update(body)), caller: hashOfCaller(callerAddress), parts: parts.length > 0 ? parts : undefined }
}

/** The prompt parts that other requests may share, each once. The last part belongs to the request itself or to its session. */
export function sharedPartsOf (prompt: RelayedRequest['prompt']): readonly string[] {
  return [...new Set(prompt?.prefixes.slice(0, -1).map(({ digest }) => digest))].slice(0, MAX_SHARED_PARTS)
}

/** A part means the same to all engines of a model. */
export function hashOfPart (model: string, part: string): string {
  return truncatedDigest(hashParts(createHash('sha256'), [model, part]))
}

export function hashOfCaller (callerAddress: string): string {
  return hashOf(callerAddress)
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
