import { type z } from 'zod'
import { suggestName } from './suggestName.js'

/** What is wrong with one field of a settings file or resource. */
export interface FieldProblem {
  /** Dotted path of the field. */
  field: string
  message: string
}

type Issue = z.core.$ZodIssue

/** Turns schema issues into problems that name each field, with a close spelling for an unknown one. */
export function describeIssues (issues: readonly Issue[], knownKeysAt: (path: PropertyKey[]) => string[]): FieldProblem[] {
  return issues.flatMap((issue) => issue.code === 'unrecognized_keys'
    ? issue.keys.map((key) => unknownKey(issue.path, key, knownKeysAt(issue.path)))
    : [{ field: issue.path.join('.'), message: issue.message }])
}

function unknownKey (path: PropertyKey[], key: string, known: string[]): FieldProblem {
  const close = suggestName(key, known)
  const hint = close ? `did you mean «${close}»?` : `known keys: ${known.join(', ')}`
  return { field: [...path, key].join('.'), message: `unknown key; ${hint}` }
}
