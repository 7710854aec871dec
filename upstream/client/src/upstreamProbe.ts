/** What an upstream's address answers to an attempt to connect. */
export enum UpstreamPresence {
  /** Something takes connections there: the upstream, or whoever has the address now. */
  Listens = 'listens',
  /** The machine runs, and no process listens: the upstream's has ended. */
  Refuses = 'refuses',
  /** No answer, which says nothing of the upstream. */
  Silent = 'silent',
}

/** Asks whether anything listens at an upstream's address. */
export abstract class UpstreamProbe {
  /** Never throws. */
  abstract look (address: string): Promise<UpstreamPresence>
}
