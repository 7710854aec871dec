import { type HoldLabel } from '@reelspan/core.messages'
import { type EngineRun } from './engineTraces.js'

export enum EngineRole {
  Prefill = 'prefill',
  Decode = 'decode',
}

export enum HoldKind {
  /** KV cache of a finished prefill, waiting to be exported. */
  PrefillResult = 'prefillResult',
  /** A prefill that is queued or running. */
  Prefill = 'prefill',
  /** KV cache that is being imported. */
  Import = 'import',
  Decode = 'decode',
}

/** A resource that an engine holds for a request. */
export interface EngineHold {
  label: HoldLabel
  kind: HoldKind
  kvBytes: number
  /** Tokens generated so far. */
  tokensDone: number
}

export interface LoadedModel {
  model: string
  version: string
}

/** State that an engine reports about itself. The load figures may lag; the list of holds is exact. */
export interface EngineReport {
  /** Start time of the engine's process in Unix milliseconds by its own clock. Only some engines report it. */
  startedAtMs?: number
  role: EngineRole
  loaded: LoadedModel[]
  /** A model load or role change is in progress. */
  changing: boolean
  placesUsed: number
  placesTotal: number
  kvBytesUsed: number
  kvBytesTotal: number
  prefillQueueMs: number
  /** The highest fencing token that the engine has accepted; 0 if it does not check them. */
  fence: number
  /** Number of orders accepted since the engine started. Only some engines report it. */
  ordersTaken?: number
  /** Callers' requests that the engine runs. Only some engines report them. */
  runs?: readonly EngineRun[]
  holds: EngineHold[]
}

export enum OrderKind {
  LoadModel = 'loadModel',
  ChangeRole = 'changeRole',
}

/** An order to an engine. It carries a fencing token that the engine may check or ignore. */
export type EngineOrder = OrderPreconditions & (
  | { kind: OrderKind.LoadModel, model: string, version: string, fence: number }
  | { kind: OrderKind.ChangeRole, role: EngineRole, fence: number }
)

/** Values that an engine may check before it accepts an order. */
export interface OrderPreconditions {
  /** The only incarnation of the engine that may accept the order. */
  instance?: string
  /** The box that gives the order. */
  holder?: string
  /** Number of orders the engine has accepted, as known to the holder. The engine refuses the order if its own count differs. */
  ordersTaken?: number
}
