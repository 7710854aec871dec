import { execFile } from 'node:child_process'
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'

const BIN = join(import.meta.dirname, '..', 'bin', 'reelspan.js')

interface CommandResult {
  code: number
  out: string
  err: string
}

function run (...args: string[]): Promise<CommandResult> {
  return new Promise((resolve) => execFile(process.execPath, [BIN, ...args], (error, out, err) => {
    resolve({ code: error ? Number(error.code) : 0, out, err })
  }))
}

async function settingsFile (text: string): Promise<string> {
  const file = join(await mkdtemp(join(tmpdir(), 'reelspan-test-')), 'box.toml')
  await writeFile(file, text)
  return file
}

test('help and version are printed', async (t) => {
  const help = await run('--help')
  t.is(help.code, 0)
  t.regex(help.out, /reelspan serve --config box.toml/)
  t.regex((await run('version')).out, /^reelspan 0\.1\.0, protocol 1\n$/)
})

test('a wrong command line is reported with a usage hint', async (t) => {
  t.like(await run(), { code: 2, err: 'reelspan: a command is needed: serve, check or version\nTry «reelspan --help».\n' })
  t.like(await run('sreve'), { code: 2 })
  t.like(await run('serve'), { code: 2, err: 'reelspan: --config FILE is needed\nTry «reelspan --help».\n' })
  t.like(await run('check', '--config', '/no/such/file'), { code: 2, err: 'reelspan: --config: /no/such/file cannot be read: ENOENT\nTry «reelspan --help».\n' })
})

test('invalid settings are reported by file and key, and the box does not start', async (t) => {
  const file = await settingsFile('[box]\nname = "a"\navailabiltyZone = "z"\n')
  const { code, err } = await run('serve', '--config', file)
  t.is(code, 3)
  t.true(err.includes(`${file}: box.availabiltyZone: unknown key; did you mean «availabilityZone»?`))
  t.true(err.includes(`${file}: listen: `))
})

test('check reports valid settings as ok', async (t) => {
  const file = await settingsFile('[box]\nname = "a"\navailabilityZone = "z"\n[listen]\ncallerAddress = "127.0.0.1:1"\npeerAddress = "127.0.0.1:2"\noperatorAddress = "127.0.0.1:3"\n[platform]\naddresses = ["127.0.0.1:4"]\n')
  t.like(await run('check', '--config', file), { code: 0, out: `${file}: ok\n` })
})
