import { readFileSync } from 'node:fs'
import { Socket } from 'node:net'

/** How new connections of a box to upstreams fail. */
export enum ConnectFault {
  None = 'none',
  /** They are never accepted. */
  Hang = 'hang',
  /** They are refused. */
  Refuse = 'refuse',
}

const { SOAK_LOCAL_ADDRESS, SOAK_CONNECT_FAULT_FILE, SOAK_UPSTREAM_SUBNET = '' } = process.env
const POLL_INTERVAL_MS = 10
/** Nothing listens there. */
const CLOSED_PORT = 1

interface ConnectOptions {
  host?: string
  port?: number
  localAddress?: string
}

// Loaded into a box ahead of the product (`--import`). Its connections come from an address of
// its own, by which proxies tell boxes apart, and those to upstreams fail as a file says.
if (SOAK_LOCAL_ADDRESS !== undefined && SOAK_CONNECT_FAULT_FILE !== undefined) controlConnections(SOAK_LOCAL_ADDRESS, SOAK_CONNECT_FAULT_FILE)

function controlConnections (localAddress: string, faultFile: string): void {
  let fault = ConnectFault.None
  setInterval(() => { fault = readFault(faultFile) }, POLL_INTERVAL_MS).unref()
  const connect = Socket.prototype.connect as (this: Socket, ...args: unknown[]) => Socket
  Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
    const options = optionsOf(args)
    if (!options) return connect.apply(this, args)
    options.localAddress ??= localAddress
    const isToUpstream = options.host?.startsWith(SOAK_UPSTREAM_SUBNET) === true
    if (isToUpstream && fault === ConnectFault.Hang) return this
    if (isToUpstream && fault === ConnectFault.Refuse) options.port = CLOSED_PORT
    return connect.apply(this, args)
  } as typeof Socket.prototype.connect
}

/** The options of a call of `connect`, whose arguments Node may already have put into an array. */
function optionsOf ([first]: unknown[]): ConnectOptions | undefined {
  const options: unknown = Array.isArray(first) ? first[0] : first
  return typeof options === 'object' && options !== null && 'port' in options ? options as ConnectOptions : undefined
}

function readFault (file: string): ConnectFault {
  try {
    const text = readFileSync(file, 'utf8')
    return Object.values(ConnectFault).find((fault) => fault === text) ?? ConnectFault.None
  } catch {
    return ConnectFault.None
  }
}
