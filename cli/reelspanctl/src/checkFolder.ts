import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { checkResources, type DeclaredResource, resourceId } from '@reelspan/config.resources'
import { parse } from 'smol-toml'

export interface FolderCheck {
  resourceCount: number
  /** One line per problem: file, resource, field and message. */
  problems: string[]
}

interface DeclaredFile {
  file: string
  resource?: DeclaredResource
  problem?: string
}

/** Checks the declarations in a folder (one resource per TOML file) with the checks that a box runs before it adopts them. */
export async function checkFolder (folder: string): Promise<FolderCheck> {
  const names = (await readdir(folder, { recursive: true })).filter((name) => name.endsWith('.toml')).sort()
  const files = await Promise.all(names.map((name) => readDeclared(folder, name)))
  const resources = files.flatMap(({ resource }) => resource ? [resource] : [])
  const fileOf = new Map(files.flatMap(({ file, resource }) => resource ? [[resourceId(resource), file]] : []))
  const problems = checkResources(resources, 0).problems.map(({ resource, field, message }) => `${fileOf.get(resource) ?? folder}: ${resource}: ${field}: ${message}`)
  return { resourceCount: resources.length, problems: [...files.flatMap(({ problem }) => problem ?? []), ...problems] }
}

async function readDeclared (folder: string, file: string): Promise<DeclaredFile> {
  try {
    const { kind, name, spec, ...rest } = parse(await readFile(join(folder, file), 'utf8'))
    const unknown = Object.keys(rest)
    if (typeof kind !== 'string') return { file, problem: `${file}: kind: expected a kind in quotes, such as "Route"` }
    if (typeof name !== 'string') return { file, problem: `${file}: name: expected a name in quotes` }
    if (unknown.length > 0) return { file, problem: `${file}: ${unknown[0]}: unknown key; known keys: kind, name, spec` }
    return { file, resource: { kind, name, revision: 0, spec: spec ?? {} } }
  } catch (thrown) {
    return { file, problem: `${file}: ${(thrown as Error).message.split('\n')[0]}` }
  }
}
