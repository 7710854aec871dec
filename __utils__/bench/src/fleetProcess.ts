import { type ChildProcess, spawn } from 'node:child_process'
import { once } from 'node:events'

/** A Node.js process of a test fleet. */
export class FleetProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #output: string[] = []
  #frozen = false

  constructor (name: string, script: string, args: readonly string[], env: Record<string, string> = {}) {
    this.name = name
    this.#child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', 'pipe', 'ipc'], env: { ...process.env, ...env } })
    this.#child.stdout?.on('data', (chunk) => this.#output.push(String(chunk)))
    this.#child.stderr?.on('data', (chunk) => this.#output.push(String(chunk)))
  }

  get pid (): number {
    return this.#child.pid as number
  }

  get running (): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Standard output and standard error so far. */
  get output (): string {
    return this.#output.join('')
  }

  /** Resolves with the next IPC message of the process. Rejects if the process exits first. */
  async nextMessage<T> (): Promise<T> {
    const exited = once(this.#child, 'exit').then(() => { throw new Error(`${this.name} exited:\n${this.output}`) })
    const [message] = await Promise.race([once(this.#child, 'message'), exited])
    return message
  }

  async sendAndAwaitReply (message: object): Promise<void> {
    const reply = this.nextMessage()
    this.send(message)
    await reply
  }

  send (message: object): void {
    this.#child.send(message)
  }

  /** Whether the process was stopped by SIGSTOP and not continued since. */
  get frozen (): boolean {
    return this.#frozen
  }

  signal (signal: NodeJS.Signals): void {
    if (signal === 'SIGSTOP') this.#frozen = true
    if (signal === 'SIGCONT') this.#frozen = false
    this.#child.kill(signal)
  }

  /** Resolves with the exit code, or null if a signal ended the process. */
  async waitForExit (): Promise<number | null> {
    if (this.running) await once(this.#child, 'exit')
    return this.#child.exitCode
  }

  async kill (): Promise<void> {
    this.signal('SIGCONT')
    this.signal('SIGKILL')
    await this.waitForExit()
  }
}
