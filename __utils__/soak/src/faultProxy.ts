import { once } from 'node:events'
import { createServer, type Server, Socket } from 'node:net'

/** What happens to bytes on a path. */
export enum PathFault {
  None = 'none',
  /** Bytes wait until the fault is over, in both directions. */
  Silent = 'silent',
  /** Bytes towards the server pass, answers wait. */
  NoAnswers = 'noAnswers',
  /** Answers pass, bytes towards the server wait. */
  NoRequests = 'noRequests',
  /** Bytes are passed on late. */
  Slow = 'slow',
  /** Connections are reset, old and new. */
  Reset = 'reset',
}

/** Which way a connection carries nothing any more. */
export enum Silence {
  BothWays = 'bothWays',
  ToServer = 'toServer',
  ToClient = 'toClient',
}

const SLOW_MS = 150
const HOLDS_REQUESTS = [PathFault.Silent, PathFault.NoRequests]
const HOLDS_ANSWERS = [PathFault.Silent, PathFault.NoAnswers]
const SILENT_TO_SERVER = [Silence.BothWays, Silence.ToServer]
const SILENT_TO_CLIENT = [Silence.BothWays, Silence.ToClient]

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

  /** @param address where to listen; anywhere on loopback without */
  async start (address = '127.0.0.1:0'): Promise<void> {
    const [host, port] = address.split(':')
    this.#server.listen(Number(port), host)
    await once(this.#server, 'listening')
    this.address = `${host}:${(this.#server.address() as { port: number }).port}`
  }

  get fault (): PathFault {
    return this.#fault
  }

  set fault (fault: PathFault) {
    this.#fault = fault
    if (fault === PathFault.Reset) this.#paths.forEach((path) => path.reset())
    this.#paths.forEach((path) => path.flush())
  }

  /** Silences open connections for good, without an end or a reset. New ones are let through. Answers how many there were. */
  silenceOpen (silence: Silence, isChosen: () => boolean = () => true): number {
    const chosen = [...this.#paths].filter(isChosen)
    chosen.forEach((path) => path.silence(silence))
    return chosen.length
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
    const isSlow = () => fault() === PathFault.Slow
    this.#toServer = new Direction(client, server, { isHeld: () => HOLDS_REQUESTS.includes(fault()), isSlow })
    this.#toClient = new Direction(server, client, { isHeld: () => HOLDS_ANSWERS.includes(fault()), isSlow })
    const gone = ({ silent }: Direction) => () => {
      // The other side of a silent connection hears nothing of this one's end.
      if (!silent) this.reset()
      if (client.destroyed && server.destroyed) onGone()
    }
    client.on('error', gone(this.#toServer)).on('close', gone(this.#toServer))
    server.on('error', gone(this.#toClient)).on('close', gone(this.#toClient))
  }

  reset (): void {
    [this.#client, this.#server].filter((socket) => !socket.destroyed).forEach((socket) => {
      // A socket that has sent its end cannot be reset: libuv refuses, and Node would keep its handle for ever.
      if (socket.writableEnded) socket.destroy()
      else socket.resetAndDestroy()
    })
  }

  silence (silence: Silence): void {
    this.#toServer.silent ||= SILENT_TO_SERVER.includes(silence)
    this.#toClient.silent ||= SILENT_TO_CLIENT.includes(silence)
  }

  flush (): void {
    this.#toServer.flush()
    this.#toClient.flush()
  }
}

/** Bytes, and the end, of one direction. What is held back comes later, in order; what comes into silence is lost. */
class Direction {
  readonly #to: Socket
  readonly #isHeld: () => boolean
  #held: (Buffer | undefined)[] = []
  silent = false

  constructor (from: Socket, to: Socket, { isHeld, isSlow }: { isHeld: () => boolean, isSlow: () => boolean }) {
    this.#to = to
    this.#isHeld = isHeld
    const take = (bytes?: Buffer) => {
      if (this.silent) return
      this.#held.push(bytes)
      if (isSlow()) setTimeout(() => this.flush(), SLOW_MS)
      else this.flush()
    }
    from.on('data', take)
    from.on('end', () => take())
  }

  flush (): void {
    if (this.silent || this.#isHeld() || this.#to.destroyed) return
    const ready = this.#held
    this.#held = []
    ready.forEach((bytes) => bytes ? this.#to.write(bytes) : this.#to.end())
  }
}
