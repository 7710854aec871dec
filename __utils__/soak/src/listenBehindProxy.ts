import { type ListenOptions, Server } from 'node:net'

/** Offset from a port that a proxy occupies to the port where the process listens instead. */
export const PORT_OFFSET = 10_000

const PROXIED_PORT = Number(process.env.SOAK_PROXIED_PORT)

// Loaded into a box ahead of the product (`--import`). The proxy listens on the
// port that the box advertises to its peers, and the box on another one.
if (PROXIED_PORT > 0) offsetListeners()

function offsetListeners (): void {
  const listen = Server.prototype.listen as (this: Server, ...args: unknown[]) => Server
  Server.prototype.listen = function (this: Server, where: unknown, ...rest: unknown[]) {
    return listen.call(this, withPortOffset(where), ...rest)
  } as typeof Server.prototype.listen
}

function withPortOffset (portOrOptions: unknown): unknown {
  if (portOrOptions === PROXIED_PORT) return PROXIED_PORT + PORT_OFFSET
  const options = portOrOptions as ListenOptions
  return options?.port === PROXIED_PORT ? { ...options, port: PROXIED_PORT + PORT_OFFSET } : portOrOptions
}
