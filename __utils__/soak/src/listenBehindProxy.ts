import { type ListenOptions, Server } from 'node:net'

/** Where a process listens in place of a port that a proxy has taken. */
export const PORT_SHIFT = 10_000

const PROXIED_PORT = Number(process.env.SOAK_PROXIED_PORT)

// Loaded into a box ahead of the product (`--import`): what is to listen at the
// port that a box tells others listens beside it, and the proxy has the port.
if (PROXIED_PORT > 0) shiftListeners()

function shiftListeners (): void {
  const listen = Server.prototype.listen as (this: Server, ...args: unknown[]) => Server
  Server.prototype.listen = function (this: Server, where: unknown, ...rest: unknown[]) {
    return listen.call(this, shifted(where), ...rest)
  } as typeof Server.prototype.listen
}

function shifted (where: unknown): unknown {
  if (where === PROXIED_PORT) return PROXIED_PORT + PORT_SHIFT
  const options = where as ListenOptions
  return options?.port === PROXIED_PORT ? { ...options, port: PROXIED_PORT + PORT_SHIFT } : where
}
