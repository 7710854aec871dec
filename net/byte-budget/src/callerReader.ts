/** How far a caller has read its answer. */
export abstract class CallerReader {
  /** Bytes written for the caller that the operating system has not taken. */
  abstract get unsentBytes (): number

  /** Grows when the operating system takes bytes for the caller. Undefined while the caller's connection is used by an earlier answer. */
  abstract get takenBytes (): number | undefined

  /** Closes the connection so that the answer does not look complete. */
  abstract disconnect (): void
}
