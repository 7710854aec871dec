import { type Dispatcher, request } from 'undici'

/** Addresses of boxes to use, and how long the answer may be cached. */
export interface DirectoryAnswer {
  addresses: string[]
  keepMs: number
}

const MS_PER_S = 1000
const TIMEOUT_MS = 1000

/** Queries the directory of a box as clients do. Resolves with undefined if the box does not answer. */
export async function queryDirectory (address: string, dispatcher: Dispatcher): Promise<DirectoryAnswer | undefined> {
  try {
    const { body, statusCode } = await request(`http://${address}/v1/resolve?name=scripts.example&zone=hall-a`, { dispatcher, signal: AbortSignal.timeout(TIMEOUT_MS) })
    const answer = await body.json() as { addresses: string[], ttl_s: number }
    return statusCode === 200 ? { addresses: answer.addresses, keepMs: MS_PER_S * answer.ttl_s } : undefined
  } catch {
    // Boxes may be down at any time; clients then query another one.
    return undefined
  }
}
