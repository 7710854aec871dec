import { execFile } from 'node:child_process'
import { join } from 'node:path'
import test from 'ava'

const BIN = join(import.meta.dirname, '..', 'bin', 'reelspanctl.js')
const FIXTURES = join(import.meta.dirname, '..', 'test', '__fixtures__')

function run (...args: string[]): Promise<{ code: number, out: string, err: string }> {
  return new Promise((resolve) => execFile(process.execPath, [BIN, ...args], (error, out, err) => {
    resolve({ code: error ? Number(error.code) : 0, out, err })
  }))
}

test('check reports problems of the declarations in a folder', async (t) => {
  t.like(await run('check', join(FIXTURES, 'good')), { code: 0, out: '2 resources, no problems\n' })
  const { code, err } = await run('check', join(FIXTURES, 'bad'))
  t.is(code, 3)
  t.deepEqual(err.trim().split('\n'), [
    'nothing.toml: kind: expected a kind in quotes, such as "Route"',
    'route.toml: Route/desk: spec.pathPrefx: unknown key; did you mean «pathPrefix»?',
  ])
})

test('check --json prints JSON', async (t) => {
  const { out } = await run('check', join(FIXTURES, 'bad'), '--json')
  t.is(JSON.parse(out).problems.length, 2)
})

test('a wrong command line gives exit code 2, an unreachable box exit code 4', async (t) => {
  t.is((await run('lst')).code, 2)
  t.is((await run('get', 'Route')).code, 2)
  t.is((await run('list', '--box', '127.0.0.1:1')).code, 4)
  t.is((await run('--help')).code, 0)
})
