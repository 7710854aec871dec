import { type z } from 'zod'
import { describeIssues } from './describeIssues.js'
import { Configuration } from './configuration.js'
import { ResourceKind, resourceId, type DeclaredResource, type Resource } from './resource.js'
import { accountSpecSchema, callerLimitsSpecSchema, modelSpecSchema, PoolRole, poolSpecSchema, rolloutSpecSchema, routeSpecSchema } from './specs.js'
import { suggestName } from './suggestName.js'

/** A problem with one field of one resource. */
export interface ResourceProblem {
  resource: string
  field: string
  message: string
}

export interface CheckResult {
  configuration: Configuration
  problems: ResourceProblem[]
  /** Number of resources that were validated by a schema, not taken from the cache. */
  checkedCount: number
}

/** Validated resources by the object of the declared spec, which is never modified. */
export type CheckedSpecs = WeakMap<object, Resource>

export interface CheckOptions {
  /** Valid specs are looked up here before they are validated, and stored afterwards. */
  cache?: CheckedSpecs
}

const SCHEMAS = {
  [ResourceKind.Model]: modelSpecSchema,
  [ResourceKind.Pool]: poolSpecSchema,
  [ResourceKind.Route]: routeSpecSchema,
  [ResourceKind.Rollout]: rolloutSpecSchema,
  [ResourceKind.CallerLimits]: callerLimitsSpecSchema,
  [ResourceKind.Account]: accountSpecSchema,
}

/** Validates a complete set of declared resources: each by its schema, then the references between them. */
export function checkResources (declared: readonly DeclaredResource[], revision: number, { cache: checkedBefore }: CheckOptions = {}): CheckResult {
  const parsed = declared.map((resource) => getCachedResource(resource, checkedBefore) ?? checkResource(resource, checkedBefore))
  const resources = parsed.flatMap(({ resource }) => resource ? [resource] : [])
  const configuration = new Configuration(revision, resources)
  const problems = [
    ...findDuplicates(declared),
    ...parsed.flatMap((result) => result.problems),
    ...resources.flatMap((resource) => checkReferences(resource, configuration)),
  ]
  return { configuration, problems, checkedCount: parsed.filter(({ fromCache: recalled }) => !recalled).length }
}

interface ParsedResource {
  resource?: Resource
  problems: ResourceProblem[]
  /** The spec was validated by an earlier check. */
  fromCache?: boolean
}

function getCachedResource (declared: DeclaredResource, checkedBefore?: CheckedSpecs): ParsedResource | undefined {
  const before = isObject(declared.spec) ? checkedBefore?.get(declared.spec) : undefined
  if (before?.kind !== declared.kind) return undefined
  return { resource: { ...declared, spec: before.spec } as Resource, problems: [], fromCache: true }
}

function checkResource (declared: DeclaredResource, checkedBefore?: CheckedSpecs): ParsedResource {
  const parsed = parseResource(declared)
  if (parsed.resource && isObject(declared.spec)) checkedBefore?.set(declared.spec, parsed.resource)
  return parsed
}

function isObject (spec: unknown): spec is object {
  return typeof spec === 'object' && spec !== null
}

function parseResource (declared: DeclaredResource): ParsedResource {
  const id = resourceId(declared)
  const schema: z.ZodObject | undefined = SCHEMAS[declared.kind as ResourceKind]
  if (!schema) {
    const suggestion = suggestName(declared.kind, Object.values(ResourceKind))
    const hint = suggestion ? `did you mean «${suggestion}»?` : `known kinds: ${Object.values(ResourceKind).join(', ')}`
    return { problems: [{ resource: id, field: 'kind', message: `unknown kind «${declared.kind}»; ${hint}` }] }
  }
  const result = schema.safeParse(declared.spec)
  if (result.success) return { resource: { ...declared, spec: result.data } as Resource, problems: [] }
  const problems = describeIssues(result.error.issues, () => Object.keys(schema.shape))
  return { problems: problems.map(({ field, message }) => ({ resource: id, field: field ? `spec.${field}` : 'spec', message })) }
}

function findDuplicates (declared: readonly DeclaredResource[]): ResourceProblem[] {
  const seen = new Set<string>()
  return declared
    .map(resourceId)
    .filter((id) => seen.has(id) || !seen.add(id))
    .map((resource) => ({ resource, field: 'name', message: 'declared more than once' }))
}

function checkReferences (resource: Resource, configuration: Configuration): ResourceProblem[] {
  const problem = (field: string, message: string) => ({ resource: resourceId(resource), field: `spec.${field}`, message })
  const checkModel = (name: string) => configuration.model(name) ? [] : [problem('model', unknownReference('Model', name, configuration.modelNames()))]
  const checkPool = (field: string, name: string, role: PoolRole) => {
    const pool = configuration.pool(name)
    if (!pool) return [problem(field, unknownReference('Pool', name, configuration.poolNames()))]
    return pool.role === role ? [] : [problem(field, `Pool/${name} has role ${pool.role}, ${role} is needed`)]
  }
  switch (resource.kind) {
    case ResourceKind.Model:
      return [
        ...checkPool('prefillPool', resource.spec.prefillPool, PoolRole.Prefill),
        ...checkPool('decodePool', resource.spec.decodePool, PoolRole.Decode),
      ]
    case ResourceKind.Rollout: {
      const sameModelRollouts = configuration.rollouts().filter((other) => other.spec.model === resource.spec.model)
      return [
        ...checkModel(resource.spec.model),
        ...(sameModelRollouts.length > 1 ? [problem('model', `has more than one rollout: ${sameModelRollouts.map(({ name }) => name).join(', ')}`)] : []),
      ]
    }
    case ResourceKind.Route: {
      const { model, pool, pathPrefix, targets } = resource.spec
      if (targets !== undefined) {
        return [
          ...(model !== undefined || pool !== undefined ? [problem('targets', 'cannot be combined with model or pool')] : []),
          ...(pathPrefix === undefined ? [problem('pathPrefix', 'required with targets')] : []),
          ...targets.flatMap((target) => {
            if ((target.model === undefined) === (target.pool === undefined)) return [problem('targets', 'a target has either a model or a pool')]
            return target.model !== undefined ? checkModel(target.model) : checkPool('targets', target.pool as string, PoolRole.Service)
          }),
        ]
      }
      if ((model === undefined) === (pool === undefined)) return [problem('model', 'a route has either a model or a pool')]
      if (model !== undefined) return checkModel(model)
      return [
        ...checkPool('pool', pool as string, PoolRole.Service),
        ...(pathPrefix === undefined ? [problem('pathPrefix', 'required with a service pool')] : []),
        ...(pathPrefix?.startsWith('/v1/lookup') || pathPrefix?.startsWith('/v1/completions') ? [problem('pathPrefix', `«${pathPrefix}» is reelspan's own`)] : []),
      ]
    }
    case ResourceKind.Account: {
      const shared = resource.spec.keyDigests.map((digest) => configuration.accountOfKey(digest)?.name).find((name) => name !== resource.name)
      return shared === undefined ? [] : [problem('keyDigests', `contains a key of Account/${shared}`)]
    }
    case ResourceKind.Pool:
    case ResourceKind.CallerLimits:
      return []
  }
}

function unknownReference (kind: string, name: string, known: string[]): string {
  const suggestion = suggestName(name, known)
  return `there is no ${kind}/${name}${suggestion ? `; did you mean «${suggestion}»?` : ''}`
}
