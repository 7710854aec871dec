/** Settles like `work`, or rejects with `failure` as soon as one of the signals is aborted. */
export function rejectOnAbort<T> (work: Promise<T>, signals: readonly (AbortSignal | undefined)[], failure: () => Error): Promise<T> {
  return new Promise((resolve, reject) => {
    const abort = () => reject(failure())
    const watched = signals.filter((signal) => signal !== undefined)
    if (watched.some(({ aborted }) => aborted)) abort()
    watched.forEach((signal) => signal.addEventListener('abort', abort, { once: true }))
    work.then(resolve, reject).finally(() => watched.forEach((signal) => signal.removeEventListener('abort', abort)))
  })
}
