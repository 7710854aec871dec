import { describeIssues } from '@reelspan/config.resources'
import { ErrorCode, errorMessage, ReelspanError } from '@reelspan/core.error'
import { parse, TomlError } from 'smol-toml'
import { z } from 'zod'
import { type Settings, settingsSchema } from './settingsSchema.js'

/**
 * Parses the text of a settings file. Throws `ERR_REELSPAN_BAD_SETTINGS` with one line
 * per problem: file, key and what was expected.
 */
export function parseSettings (text: string, fileName: string): Settings {
  const result = settingsSchema.safeParse(parseToml(text, fileName))
  if (!result.success) {
    const lines = describeIssues(result.error.issues, knownKeysAt).map(({ field, message }) => `${fileName}: ${field}: ${message}`)
    throw settingsError(lines)
  }
  const problems = findConflicts(result.data)
  if (problems.length > 0) throw settingsError(problems.map((problem) => `${fileName}: ${problem}`))
  return result.data
}

function parseToml (text: string, fileName: string): unknown {
  try {
    return parse(text)
  } catch (cause) {
    const where = cause instanceof TomlError ? `:${cause.line}:${cause.column}` : ''
    const reason = errorMessage(cause).split('\n')[0]
    throw settingsError([`${fileName}${where}: ${reason}`], cause)
  }
}

/** Finds values that are valid individually but not in combination. */
function findConflicts ({ listen, membership, requests }: Settings): string[] {
  const onLoopback = /^(127\.|\[::1\])/.test(listen.operatorAddress)
  const hasToken = listen.operatorTokenFile !== undefined || listen.operatorTokenVariable !== undefined
  return [
    ...(!onLoopback && !hasToken ? ['listen.operatorAddress: not on loopback, so listen.operatorTokenFile or listen.operatorTokenVariable is needed'] : []),
    ...(membership.probeTimeoutMs >= membership.probePeriodMs ? ['membership.probeTimeoutMs: expected less than membership.probePeriodMs'] : []),
    ...(requests.lookupKeepMs >= requests.prefixLifeMs ? ['requests.prefixLifeMs: expected more than requests.lookupKeepMs'] : []),
  ]
}

function knownKeysAt (path: PropertyKey[]): string[] {
  const section = path.length === 0 ? settingsSchema : settingsSchema.shape[path[0] as keyof Settings]
  const object = section instanceof z.ZodPrefault ? section.unwrap() : section
  return object instanceof z.ZodObject ? Object.keys(object.shape) : []
}

function settingsError (lines: string[], cause?: unknown): ReelspanError {
  return new ReelspanError(ErrorCode.BadSettings, lines.join('\n'), { cause, hint: 'docs/OPERATING.md lists every key with its unit and default.' })
}
