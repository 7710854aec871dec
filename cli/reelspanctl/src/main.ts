import { readFile } from 'node:fs/promises'
import { errorMessage } from '@reelspan/core.error'
import meow from 'meow'
import { BoxAnswerError, BoxClient, BoxUnreachableError } from './boxClient.js'
import { checkFolder } from './checkFolder.js'
import { ExitCode } from './exitCode.js'
import { explain } from './explain.js'
import { showResources, showStatus } from './show.js'
import { tally } from './tally.js'

const DEFAULT_BOX = '127.0.0.1:9101'
const WATCH_WAIT_MS = 30_000

const HELP = `
  Usage
    $ reelspanctl lookup                  Which boxes to use, and a key prefix
    $ reelspanctl list [KIND]             Resources in force
    $ reelspanctl get KIND NAME           One resource
    $ reelspanctl status KIND NAME        State of one resource across the fleet
    $ reelspanctl watch [--since N]       Print each change as it comes into force
    $ reelspanctl check FOLDER            Check declarations before they are published
    $ reelspanctl explain ID [FILE …]     A request's trace and likely cause, from log lines
    $ reelspanctl tally [FILE …]          Outcomes and latencies of requests by kind and route, from log lines
    $ reelspanctl dump                    The box's whole state (JSON)
    $ reelspanctl metrics                 The box's metrics

  Options
    --box IP:PORT       Operator address of any box (default: ${DEFAULT_BOX})
    --token-file FILE   File with the operator token
    --since N           watch: print changes after this revision
    --once              watch: stop after the first answer
    --json              list, get, status, watch, check, lookup, explain, tally: print JSON

  Exit codes
    0 done   1 failed   2 wrong command line
    3 check found problems, or the resource or request was not found   4 box unreachable
`

interface Flags {
  json: boolean
  once: boolean
  since: number
}

/** Runs the `reelspanctl` command and resolves with its exit code. */
export async function main (argv: readonly string[]): Promise<ExitCode> {
  const cli = meow(HELP, {
    importMeta: import.meta,
    argv: [...argv],
    description: 'Inspects a reelspan fleet through any of its boxes',
    allowUnknownFlags: false,
    flags: {
      box: { type: 'string', default: DEFAULT_BOX },
      tokenFile: { type: 'string' },
      since: { type: 'number', default: 0 },
      once: { type: 'boolean', default: false },
      json: { type: 'boolean', default: false },
    },
  })
  const [command, ...args] = cli.input
  try {
    const { box, tokenFile } = cli.flags
    const token = tokenFile === undefined ? undefined : (await readFile(tokenFile, 'utf8')).trim()
    return await run(command, args, new BoxClient({ box, token }), cli.flags)
  } catch (thrown) {
    return reportError(thrown)
  }
}

async function run (command: string | undefined, args: string[], box: BoxClient, flags: Flags): Promise<ExitCode> {
  switch (command) {
    case 'lookup': return print(await box.json('/v1/lookup'))
    case 'list': return showResources(await box.json(`/v1/resources${args[0] === undefined ? '' : `?kind=${encodeURIComponent(args[0])}`}`), flags.json)
    case 'get': return print(await box.json(resourcePath(args)))
    case 'status': return showStatus(await box.json(`${resourcePath(args)}/status`), flags.json)
    case 'watch': return watch(box, flags)
    case 'check': return check(args, flags.json)
    case 'explain': {
      const [requestId, ...files] = args
      if (requestId === undefined) throw new UsageError('the ID of a request is needed')
      return explain(requestId, files, flags.json)
    }
    case 'tally': return tally(args, flags.json)
    case 'dump': return print(await box.json('/debug/state'))
    case 'metrics': return printText(await box.text('/metrics'))
    default: throw new UsageError(command === undefined ? 'a command is needed' : `unknown command «${command}»`)
  }
}

function resourcePath ([kind, name]: string[]): string {
  if (kind === undefined || name === undefined) throw new UsageError('KIND and NAME are needed, such as: Route drafts')
  return `/v1/resources/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`
}

async function watch (box: BoxClient, { since, once }: Flags): Promise<ExitCode> {
  for (let revision = since; ;) {
    const answer = await box.json<{ revision: number, changes: { revision: number }[] }>(`/v1/watch?since=${revision}&waitMs=${WATCH_WAIT_MS}`)
    answer.changes.sort((a, b) => a.revision - b.revision).forEach((change) => console.log(JSON.stringify(change)))
    if (once) return ExitCode.Done
    revision = Math.max(revision, answer.revision)
  }
}

async function check ([folder]: string[], json: boolean): Promise<ExitCode> {
  if (folder === undefined) throw new UsageError('FOLDER is needed')
  const result = await checkFolder(folder)
  if (json) console.log(JSON.stringify(result))
  else if (result.problems.length > 0) console.error(result.problems.join('\n'))
  else console.log(`${result.resourceCount} resources, no problems`)
  return result.problems.length > 0 ? ExitCode.Problems : ExitCode.Done
}

function print (value: unknown): ExitCode {
  return printText(JSON.stringify(value, null, 2))
}

function printText (text: string): ExitCode {
  console.log(text)
  return ExitCode.Done
}

class UsageError extends Error {}

function reportError (thrown: unknown): ExitCode {
  console.error(`reelspanctl: ${errorMessage(thrown)}`)
  if (thrown instanceof UsageError) {
    console.error('Try «reelspanctl --help».')
    return ExitCode.Usage
  }
  if (thrown instanceof BoxUnreachableError) return ExitCode.Unreachable
  return thrown instanceof BoxAnswerError && thrown.status === 404 ? ExitCode.Problems : ExitCode.Failed
}
