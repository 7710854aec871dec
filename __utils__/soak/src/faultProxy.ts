import { once } from 'node:events'
import { createServer, type Server, Socket } from 'node:net'

/** Fault of a network path. */
export enum NetworkFault {
  None = 'none',
  /** Bytes are held back in both directions until the fault is over. */
  Silent = 'silent',
  /** Bytes to the server pass; bytes to the client are held back. */
  NoAnswers = 'noAnswers',
  /** Bytes to the client pass; bytes to the server are held back. */
  NoRequests = 'noRequests',
  /** Bytes are forwarded with a delay. */
  Slow = 'slow',
  /** Open and new connections are reset. */
  Reset = 'reset',
}

/** Direction in which a connection drops all bytes. */
export enum BlackholeDirection {
  BothWays = 'bothWays',
  ToServer = 'toServer',
  ToClient = 'toClient',
}

const SLOW_DELAY_MS = 150
const BLOCKS_REQUESTS = [NetworkFault.Silent, NetworkFault.NoRequests]
const BLOCKS_ANSWERS = [NetworkFault.Silent, NetworkFault.NoAnswers]
const BLACKHOLES_TO_SERVER = [BlackholeDirection.BothWays, BlackholeDirection.ToServer]
const BLACKHOLES_TO_CLIENT = [BlackholeDirection.BothWays, BlackholeDirection.ToClient]

/** A TCP proxy on loopback that injects network faults. */
export class FaultProxy {
  readonly #target: () => string
  readonly #server: Server
  readonly #connections = new Set<ProxiedConnection>()
  #fault = NetworkFault.None
  /** Faults of the paths from single clients, by their IP address. */
  readonly #clientFaults = new Map<string, NetworkFault>()
  address = ''

  /** @param target returns the `ip:port` to connect to; called for each connection */
  constructor (target: () => string) {
    this.#target = target
    this.#server = createServer({ allowHalfOpen: true }, (client) => this.#accept(client))
  }

  /** @param address the `ip:port` to listen on; by default any free port on loopback */
  async start (address = '127.0.0.1:0'): Promise<void> {
    const [host, port] = address.split(':')
    this.#server.listen(Number(port), host)
    await once(this.#server, 'listening')
    this.address = `${host}:${(this.#server.address() as { port: number }).port}`
  }

  get fault (): NetworkFault {
    return this.#fault
  }

  set fault (fault: NetworkFault) {
    this.#fault = fault
    if (fault === NetworkFault.Reset) this.#connections.forEach((connection) => connection.reset())
    this.#connections.forEach((connection) => connection.flush())
  }

  /** Sets the fault of the path from one client, apart from that of the proxy. New connections are not affected. */
  setClientFault (clientAddress: string, fault: NetworkFault): void {
    this.#clientFaults.set(clientAddress, fault)
    const connections = [...this.#connections].filter((connection) => connection.clientAddress === clientAddress)
    if (fault === NetworkFault.Reset) connections.forEach((connection) => connection.reset())
    connections.forEach((connection) => connection.flush())
  }

  /** Blackholes open connections permanently, without closing or resetting them. New connections work. Returns the number of blackholed connections. */
  blackholeOpenConnections (direction: BlackholeDirection, isChosen: () => boolean = () => true): number {
    const chosen = [...this.#connections].filter(isChosen)
    chosen.forEach((connection) => connection.blackhole(direction))
    return chosen.length
  }

  /** Refuses connections, as the address of a process that has exited, until `start` is called again. */
  stop (): void {
    this.#connections.forEach((connection) => connection.reset())
    this.#server.close()
  }

  #accept (client: Socket): void {
    if (this.#fault === NetworkFault.Reset) {
      client.resetAndDestroy()
      return
    }
    const [host, port] = this.#target().split(':')
    const connection = new ProxiedConnection(client, new Socket({ allowHalfOpen: true }).connect(Number(port), host), () => this.#faultFor(client), () => this.#connections.delete(connection))
    this.#connections.add(connection)
  }

  #faultFor ({ remoteAddress = '' }: Socket): NetworkFault {
    return this.#fault === NetworkFault.None ? this.#clientFaults.get(remoteAddress) ?? NetworkFault.None : this.#fault
  }
}

const EMPTY_BYTES = new Uint8Array()

/** One connection through the proxy. */
class ProxiedConnection {
  readonly clientAddress: string
  readonly #client: Socket
  readonly #server: Socket
  readonly #toServer: OneWayPipe
  readonly #toClient: OneWayPipe

  constructor (client: Socket, server: Socket, fault: () => NetworkFault, onClosed: () => void) {
    this.clientAddress = client.remoteAddress ?? '';
    // A network path does not hold small writes back until earlier ones are acknowledged.
    [client, server].forEach((socket) => socket.setNoDelay())
    this.#client = client
    this.#server = server
    const isSlow = () => fault() === NetworkFault.Slow
    this.#toServer = new OneWayPipe(client, server, { isBlocked: () => BLOCKS_REQUESTS.includes(fault()), isSlow })
    this.#toClient = new OneWayPipe(server, client, { isBlocked: () => BLOCKS_ANSWERS.includes(fault()), isSlow })
    const closeHandlerOf = ({ silent }: OneWayPipe) => () => {
      // The peer of a blackholed connection is not informed that this side has closed.
      if (!silent) this.reset()
      if (client.destroyed && server.destroyed) onClosed()
    }
    client.on('error', closeHandlerOf(this.#toServer)).on('close', closeHandlerOf(this.#toServer))
    server.on('error', closeHandlerOf(this.#toClient)).on('close', closeHandlerOf(this.#toClient))
  }

  reset (): void {
    [this.#client, this.#server].filter((socket) => !socket.destroyed).forEach((socket) => {
      // A socket that has sent its end cannot be reset: libuv refuses, and Node would never release its handle.
      if (socket.writableEnded) socket.destroy()
      else socket.resetAndDestroy()
    })
  }

  blackhole (direction: BlackholeDirection): void {
    this.#toServer.silent ||= BLACKHOLES_TO_SERVER.includes(direction)
    this.#toClient.silent ||= BLACKHOLES_TO_CLIENT.includes(direction)
  }

  flush (): void {
    this.#toServer.flush()
    this.#toClient.flush()
  }
}

/** Forwards bytes, and the end of the stream, in one direction. Bytes that are held back arrive later, in order; bytes that reach a blackholed connection are lost. */
class OneWayPipe {
  readonly #target: Socket
  readonly #isBlocked: () => boolean
  #buffered: (Buffer | undefined)[] = []
  silent = false

  constructor (source: Socket, target: Socket, { isBlocked, isSlow }: { isBlocked: () => boolean, isSlow: () => boolean }) {
    this.#target = target
    this.#isBlocked = isBlocked
    const receive = (bytes?: Buffer) => {
      if (this.silent) return
      this.#buffered.push(bytes)
      if (isSlow()) setTimeout(() => this.flush(), SLOW_DELAY_MS)
      else this.flush()
    }
    source.on('data', receive)
    // Node emits 'end' as well if a reset arrives with the last bytes; a write shows it then, and the connection is reset.
    source.on('end', () => {
      if (source.writableEnded) receive()
      else source.write(EMPTY_BYTES, (error) => { if (!error) receive() })
    })
  }

  flush (): void {
    if (this.silent || this.#isBlocked() || this.#target.destroyed) return
    const ready = this.#buffered
    this.#buffered = []
    ready.forEach((bytes) => bytes ? this.#target.write(bytes) : this.#target.end())
  }
}
