import { type RunContext } from '@reelspan/request.owner'

/** Resolves when the run is aborted. */
export function runEnded ({ signal }: RunContext): Promise<void> {
  if (signal.aborted) return Promise.resolve()
  return new Promise((resolve) => signal.addEventListener('abort', () => resolve(), { once: true }))
}
