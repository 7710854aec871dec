import { STOPPED } from '@reelspan/core.env'
import { mustDelegate } from './mustDelegate.js'
import { type RelayContext } from './relayContext.js'

/**
 * Runs `work` with a signal that is aborted with `signal`, or when the request must be delegated and this attempt is lost.
 *
 * @param isLost whether the attempt cannot succeed any more once the paths are lost
 */
export async function untilLost<T> (context: RelayContext, signal: AbortSignal, isLost: () => boolean, work: (signal: AbortSignal) => Promise<T>): Promise<T> {
  const { paths } = context
  const lost = new AbortController()
  const ended = new AbortController()
  void paths.waitUntilLost(ended.signal).then(() => {
    if (paths.lost && mustDelegate(context) && isLost()) lost.abort(STOPPED)
  })
  try {
    return await work(AbortSignal.any([signal, lost.signal]))
  } finally {
    ended.abort(STOPPED)
  }
}
