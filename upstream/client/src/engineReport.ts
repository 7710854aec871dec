import { type HoldLabel } from '@reelspan/core.messages'

export enum EngineRole {
  Prefill = 'prefill',
  Decode = 'decode',
}

export enum HoldKind {
  /** KV cache of a finished prefill that waits for its export. */
  PrefillResult = 'prefillResult',
  /** A prefill that is queued or computing. */
  Prefill = 'prefill',
  /** KV cache on its way in. */
  Import = 'import',
  Decode = 'decode',
}

/** Something that an engine holds for a request. */
export interface EngineHold {
  label: HoldLabel
  kind: HoldKind
  kvBytes: number
  /** Tokens that were generated so far. */
  tokensDone: number
}

export interface LoadedModel {
  model: string
  version: string
}

/** An engine's own word of itself. Its load part may lag; its list of holds is exact. */
export interface EngineReport {
  /** When the start of the engine began that reports, in Unix milliseconds by its own clock. Only some engines tell. */
  startedAtMs?: number
  role: EngineRole
  loaded: LoadedModel[]
  /** A load or role change is under way. */
  changing: boolean
  placesUsed: number
  placesTotal: number
  kvBytesUsed: number
  kvBytesTotal: number
  prefillQueueMs: number
  /** The highest fencing number it has accepted. 0 from one that does not check them. */
  fence: number
  /** Orders that it has taken since it started. Only some engines tell. */
  ordersTaken?: number
  holds: EngineHold[]
}

export enum OrderKind {
  LoadModel = 'loadModel',
  ChangeRole = 'changeRole',
}

/** An order to an engine. It carries a fencing number that an engine may check or ignore. */
export type EngineOrder = OrderAddress & (
  | { kind: OrderKind.LoadModel, model: string, version: string, fence: number }
  | { kind: OrderKind.ChangeRole, role: EngineRole, fence: number }
)

/** Who orders whom, for engines that ask. */
export interface OrderAddress {
  /** Only this incarnation of the engine may take the order. */
  instance?: string
  /** Who gives the order. */
  holder?: string
  /** Orders that the engine has taken before, as far as the holder knows. It refuses the order when there were others. */
  ordersTaken?: number
}
