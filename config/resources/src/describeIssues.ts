import { type z } from 'zod'
import { suggestName } from './suggestName.js'

/** A problem with one field of a settings file or resource. */
export interface FieldProblem {
  /** Dotted path of the field. */
  field: string
  message: string
}

type Issue = z.core.$ZodIssue

/** Converts schema issues to problems by field, with a suggestion for an unknown key. */
export function describeIssues (issues: readonly Issue[], knownKeysAt: (path: PropertyKey[]) => string[]): FieldProblem[] {
  return issues.flatMap((issue) => issue.code === 'unrecognized_keys'
    ? issue.keys.map((key) => unknownKey(issue.path, key, knownKeysAt(issue.path)))
    : [{ field: issue.path.join('.'), message: issue.message }])
}

function unknownKey (path: PropertyKey[], key: string, known: string[]): FieldProblem {
  const suggestion = suggestName(key, known)
  const hint = suggestion ? `did you mean «${suggestion}»?` : `known keys: ${known.join(', ')}`
  return { field: [...path, key].join('.'), message: `unknown key; ${hint}` }
}
