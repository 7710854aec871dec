import { NetworkFault } from './faultProxy.js'
import { ConnectFault } from './outgoingConnections.js'

/** How the paths of a box to all upstreams are lost. */
export enum PathLoss {
  /** Open connections bring nothing, and new ones are never accepted. */
  Silent = 'silent',
  /** Open connections are reset, and new ones are refused. */
  Reset = 'reset',
  /** Open connections work, and new ones are refused. */
  RefusesNew = 'refusesNew',
}

export const PATH_FAULTS: Record<PathLoss, { open: NetworkFault, connect: ConnectFault }> = {
  [PathLoss.Silent]: { open: NetworkFault.Silent, connect: ConnectFault.Hang },
  [PathLoss.Reset]: { open: NetworkFault.Reset, connect: ConnectFault.Refuse },
  [PathLoss.RefusesNew]: { open: NetworkFault.None, connect: ConnectFault.Refuse },
}
