import { readFile } from 'node:fs/promises'
import { parseSettings, type Settings } from '@reelspan/config.settings'
import { ReelspanError } from '@reelspan/core.error'
import { PROTOCOL_VERSION } from '@reelspan/core.messages'
import { type RunningPlatformBox } from '@reelspan/platform.adapter'
import meow from 'meow'
import { type RunningBox } from './startBox.js'

/** Environment variable with the path of the platform's settings file. */
const SETTINGS_VARIABLE = 'REELSPAN_BOOT'

/** Exit codes of `reelspan`. */
export enum ExitCode {
  Done = 0,
  Failed = 1,
  /** The command line is wrong. */
  Usage = 2,
  BadSettings = 3,
}

const HELP = `
  Usage
    $ reelspan serve --config box.toml    Run a box
    $ reelspan serve --platform           Run a box on the users' platform
    $ reelspan check --config box.toml    Check a settings file
    $ reelspan check --platform           Check the platform's settings file
    $ reelspan version                    Print the versions

  Options
    --config FILE   The box's settings (TOML)
    --platform      Read the settings from the platform's file, whose path is in $${SETTINGS_VARIABLE}
    --fixed-roles   With --platform: engines keep the roles that the platform starts them with
    --json          check, version: print JSON

  Exit codes
    0 done   1 failed   2 wrong command line   3 wrong settings

  SIGTERM stops the box as planned: running requests are completed first. A
  second signal stops it at once.
`

/** Runs the `reelspan` command and resolves with its exit code. */
export async function main (argv: readonly string[]): Promise<ExitCode> {
  const cli = meow(HELP, {
    importMeta: import.meta,
    argv: [...argv],
    description: 'A router for language models served with separate prefill and decode pools',
    flags: { config: { type: 'string' }, platform: { type: 'boolean', default: false }, fixedRoles: { type: 'boolean', default: false }, json: { type: 'boolean', default: false } },
    allowUnknownFlags: false,
  })
  const [command] = cli.input
  try {
    switch (command) {
      case 'serve': return cli.flags.platform ? await servePlatform(platformSettingsFile(), cli.flags.fixedRoles) : await serve(await readSettings(cli.flags.config))
      case 'check': return cli.flags.platform ? await checkPlatform(platformSettingsFile(), cli.flags.json) : await check(cli.flags.config, cli.flags.json)
      case 'version': return printVersion(cli.pkg.version as string, cli.flags.json)
      default: return reportUsageError(command === undefined ? 'a command is needed: serve, check or version' : `unknown command «${command}»: use serve, check or version`)
    }
  } catch (thrown) {
    return reportError(thrown)
  }
}

async function readSettings (file: string | undefined): Promise<Settings> {
  if (file === undefined) throw new UsageError('--config FILE is needed')
  const text = await readFile(file, 'utf8').catch((cause: NodeJS.ErrnoException) => {
    throw new UsageError(`--config: ${file} cannot be read: ${cause.code}`)
  })
  return parseSettings(text, file)
}

async function check (file: string | undefined, json: boolean): Promise<ExitCode> {
  const settings = await readSettings(file)
  console.log(json ? JSON.stringify(settings) : `${file}: ok`)
  return ExitCode.Done
}

function printVersion (version: string, json: boolean): ExitCode {
  console.log(json ? JSON.stringify({ version, protocolVersion: PROTOCOL_VERSION }) : `reelspan ${version}, protocol ${PROTOCOL_VERSION}`)
  return ExitCode.Done
}

function platformSettingsFile (): string {
  const file = process.env[SETTINGS_VARIABLE]
  if (!file) throw new UsageError(`--platform needs the environment variable ${SETTINGS_VARIABLE} with the path of the settings file`)
  return file
}

async function checkPlatform (file: string, json: boolean): Promise<ExitCode> {
  const { parseSettingsFile } = await import('@reelspan/platform.adapter')
  const settings = parseSettingsFile(await readFile(file, 'utf8'), file)
  console.log(json ? JSON.stringify(settings) : `${file}: ok`)
  return ExitCode.Done
}

async function servePlatform (file: string, fixedRoles: boolean): Promise<ExitCode> {
  const { startPlatformBox } = await import('@reelspan/platform.adapter')
  return serveUntilStopped((onListening: (running: RunningPlatformBox) => void) => {
    const listening: { box?: RunningPlatformBox } = {}
    // Installed before the start, since a SIGHUP without a listener terminates the process.
    process.on('SIGHUP', () => { void listening.box?.reload() })
    return startPlatformBox(file, {
      fixedRoles,
      onListening: (running) => {
        listening.box = running
        onListening(running)
      },
    })
  })
}

async function serve (settings: Settings): Promise<ExitCode> {
  const { startBox } = await import('./startBox.js')
  return serveUntilStopped((onListening) => startBox(settings, { onListening }))
}

/**
 * Starts a box and serves until a signal stops it. The signals' listeners are installed before the start, in which the
 * box accepts requests already.
 */
async function serveUntilStopped<T extends RunningBox> (start: (onListening: (running: T) => void) => Promise<unknown>): Promise<ExitCode> {
  const listening: { running?: T, stopping?: boolean } = {}
  const stopped = new Promise<void>((resolve, reject) => {
    const onSignal = () => {
      if (!listening.running) process.exit(ExitCode.Done)
      listening.stopping = true
      process.once('SIGTERM', () => process.exit(ExitCode.Failed))
      process.once('SIGINT', () => process.exit(ExitCode.Failed))
      listening.running.box.drain().then(resolve, reject)
    }
    process.once('SIGTERM', onSignal)
    process.once('SIGINT', onSignal)
  })
  const started = start((running) => { listening.running = running }).catch((thrown: unknown) => {
    // A stop may make the start fail.
    if (!listening.stopping) throw thrown
  })
  await Promise.race([stopped, started.then(() => stopped)])
  await listening.running?.stopListening()
  process.exit(ExitCode.Done)
}

class UsageError extends Error {}

function reportUsageError (message: string): ExitCode {
  console.error(`reelspan: ${message}\nTry «reelspan --help».`)
  return ExitCode.Usage
}

function reportError (thrown: unknown): ExitCode {
  if (thrown instanceof UsageError) return reportUsageError(thrown.message)
  if (thrown instanceof ReelspanError) {
    console.error(`${thrown.message}${thrown.hint ? `\n${thrown.hint}` : ''}`)
    return ExitCode.BadSettings
  }
  console.error(thrown instanceof Error ? `reelspan: ${thrown.message}` : String(thrown))
  return ExitCode.Failed
}
