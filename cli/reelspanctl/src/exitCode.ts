/** Exit codes of `reelspanctl`. */
export enum ExitCode {
  Done = 0,
  Failed = 1,
  /** The command line is wrong. */
  Usage = 2,
  /** `check` found problems, or the requested resource or request does not exist. */
  Problems = 3,
  /** The box could not be reached. */
  Unreachable = 4,
}
