/** How a waiting request relates to its client's share. Lower values go first. */
export enum ShareRank {
  /** Within the share, also of the slots that are in use now. */
  Within = 0,
  /** The client holds or waits for more than its share of the slots in use now, but used less in the last seconds. */
  Ahead = 1,
  /** Over the share of the last seconds. */
  Over = 2,
}
