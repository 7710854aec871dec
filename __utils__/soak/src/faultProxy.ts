import { once } from 'node:events'
import { createServer, type Server, Socket } from 'node:net'

/** What happens to bytes on a path. */
export enum PathFault {
  None = 'none',
  /** Bytes wait until the fault is over, in both directions. */
  Silent = 'silent',
  /** Bytes towards the server pass, answers wait. */
  NoAnswers = 'noAnswers',
  /** Bytes are passed on late. */
  Slow = 'slow',
  /** Connections are reset, old and new. */
  Reset = 'reset',
}

/** Which way the bytes of silenced connections are lost. */
export enum SilencedWay {
  Both = 'both',
  /** What the client sends does not arrive; answers do. */
  ToServer = 'toServer',
  /** The server gets everything, and its answers do not arrive. */
  ToClient = 'toClient',
}

const SLOW_MS = 150

/** A TCP proxy on loopback that harms what passes through it. */
export class FaultProxy {
  readonly #target: () => string
  readonly #server: Server
  readonly #paths = new Set<Path>()
  #fault = PathFault.None
  address = ''

  /** @param target where connections go, as `ip:port`, asked for each of them */
  constructor (target: () => string) {
    this.#target = target
    this.#server = createServer({ allowHalfOpen: true }, (client) => this.#accept(client))
  }

  async start (): Promise<void> {
    this.#server.listen(0, '127.0.0.1')
    await once(this.#server, 'listening')
    this.address = `127.0.0.1:${(this.#server.address() as { port: number }).port}`
  }

  get fault (): PathFault {
    return this.#fault
  }

  set fault (fault: PathFault) {
    this.#fault = fault
    if (fault === PathFault.Reset) this.#paths.forEach((path) => path.reset())
    this.#paths.forEach((path) => path.flush(fault))
  }

  /** Connections that stand now go silent for good, without a reset. New ones work. */
  silenceEstablished (way: SilencedWay): void {
    this.#paths.forEach((path) => path.silence(way))
  }

  stop (): void {
    this.#paths.forEach((path) => path.reset())
    this.#server.close()
  }

  #accept (client: Socket): void {
    if (this.#fault === PathFault.Reset) {
      client.resetAndDestroy()
      return
    }
    const [host, port] = this.#target().split(':')
    const path = new Path(client, new Socket({ allowHalfOpen: true }).connect(Number(port), host), () => this.#fault, () => this.#paths.delete(path))
    this.#paths.add(path)
  }
}

/** One connection through the proxy. */
class Path {
  readonly #client: Socket
  readonly #server: Socket
  readonly #toServer: Direction
  readonly #toClient: Direction

  constructor (client: Socket, server: Socket, fault: () => PathFault, onGone: () => void) {
    this.#client = client
    this.#server = server
    this.#toServer = new Direction(client, server, () => fault() === PathFault.Silent, () => fault() === PathFault.Slow)
    this.#toClient = new Direction(server, client, () => fault() === PathFault.Silent || fault() === PathFault.NoAnswers, () => fault() === PathFault.Slow)
    const gone = (direction: Direction) => {
      // The other side does not hear of it either.
      if (direction.silenced) return
      onGone()
      this.reset()
    }
    client.on('error', () => gone(this.#toServer)).on('close', () => gone(this.#toServer))
    server.on('error', () => gone(this.#toClient)).on('close', () => gone(this.#toClient))
  }

  silence (way: SilencedWay): void {
    if (way !== SilencedWay.ToClient) this.#toServer.silence()
    if (way !== SilencedWay.ToServer) this.#toClient.silence()
  }

  reset (): void {
    [this.#client, this.#server].filter((socket) => !socket.destroyed).forEach((socket) => {
      // A socket that has sent its end cannot be reset: libuv refuses, and Node would keep its handle for ever.
      if (socket.writableEnded) socket.destroy()
      else socket.resetAndDestroy()
    })
  }

  flush (fault: PathFault): void {
    if (fault !== PathFault.Silent) this.#toServer.flush()
    if (fault !== PathFault.Silent && fault !== PathFault.NoAnswers) this.#toClient.flush()
  }
}

/** Bytes, and the end, of one direction. What is held back comes later, in order. */
class Direction {
  readonly #to: Socket
  readonly #isHeld: () => boolean
  #held: (Buffer | undefined)[] = []
  #silenced = false

  constructor (from: Socket, to: Socket, isHeld: () => boolean, isSlow: () => boolean) {
    this.#to = to
    this.#isHeld = isHeld
    const take = (bytes?: Buffer) => {
      if (this.#silenced) return
      this.#held.push(bytes)
      if (isSlow()) setTimeout(() => this.flush(), SLOW_MS)
      else this.flush()
    }
    from.on('data', take)
    from.on('end', () => take())
  }

  get silenced (): boolean {
    return this.#silenced
  }

  /** From now on everything is lost. */
  silence (): void {
    this.#silenced = true
    this.#held = []
  }

  flush (): void {
    if (this.#isHeld() || this.#to.destroyed) return
    const ready = this.#held
    this.#held = []
    ready.forEach((bytes) => bytes ? this.#to.write(bytes) : this.#to.end())
  }
}
