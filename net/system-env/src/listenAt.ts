import { type Server } from 'node:http'
import { ErrorCode, errorMessage, ReelspanError } from '@reelspan/core.error'
import { splitAddress } from './splitAddress.js'

export interface ListenOptions {
  /** Named in the error if the address cannot be used. */
  setting?: string
}

/** Starts listening at `ip:port`. Resolves once the server listens. Throws `ERR_REELSPAN_BAD_SETTINGS` if it cannot. */
export async function listenAt (server: Server, address: string, { setting }: ListenOptions = {}): Promise<void> {
  try {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(splitAddress(address), () => {
        server.off('error', reject)
        resolve()
      })
    })
  } catch (cause) {
    throw new ReelspanError(ErrorCode.BadSettings, `${setting === undefined ? '' : `${setting}: `}cannot listen at ${address}: ${errorMessage(cause)}`, { cause })
  }
}
