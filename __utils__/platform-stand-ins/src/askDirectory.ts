import { type Dispatcher, request } from 'undici'

/** Which boxes to use, and how long to keep that. */
export interface DirectoryAnswer {
  addresses: string[]
  keepMs: number
}

const MS_PER_S = 1000
const TIMEOUT_MS = 1000

/** Asks a box, as clients do. Nothing when it does not answer. */
export async function askDirectory (address: string, dispatcher: Dispatcher): Promise<DirectoryAnswer | undefined> {
  try {
    const { body, statusCode } = await request(`http://${address}/v1/resolve?name=scripts.example&zone=hall-a`, { dispatcher, signal: AbortSignal.timeout(TIMEOUT_MS) })
    const answer = await body.json() as { addresses: string[], ttl_s: number }
    return statusCode === 200 ? { addresses: answer.addresses, keepMs: MS_PER_S * answer.ttl_s } : undefined
  } catch {
    // A box that is down is what a client has to expect: it asks another one.
    return undefined
  }
}
