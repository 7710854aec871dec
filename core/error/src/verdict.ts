/** Whether a request has run, as known when its final answer is sent. */
export enum Verdict {
  /** The request ran once and its whole answer was delivered. */
  Finished = 'finished',
  /** No upstream has run any part of it, and none will. */
  NotRun = 'notRun',
  /** An upstream may have run it, partly or completely. */
  MayHaveRun = 'mayHaveRun',
}
