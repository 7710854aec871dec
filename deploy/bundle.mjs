// Bundles the box program from its sources into target/. The output is split into a few
// files, so that the program loads at startup only the files that it needs.
import { existsSync, mkdirSync, readdirSync, realpathSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { basename, join } from 'node:path'
import { build } from 'esbuild'

const ROOT = join(import.meta.dirname, '..')

// Resolves workspace packages to their TypeScript sources, so that no build has to run first.
const workspaceSources = {
  name: 'workspace-sources',
  setup ({ onResolve }) {
    onResolve({ filter: /^@reelspan\// }, ({ path }) => ({ path: join(realpathSync(join(ROOT, 'node_modules', path)), 'src/index.ts') }))
    onResolve({ filter: /^\.\/.*\.js$/ }, ({ path, resolveDir }) => {
      const source = join(resolveDir, path.replace(/\.js$/, '.ts'))
      return existsSync(source) ? { path: source } : undefined
    })
  },
}

// Replaces unused parts of libraries with stubs, since loading them slows down every startup.
const unusedParts = {
  name: 'unused-parts',
  setup ({ onLoad }) {
    // Error messages in languages other than English.
    onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({ contents: "export { default as en } from './en.js'" }))
    // Module discovery by file patterns, and compression of histograms.
    onLoad({ filter: /node_modules\/(fast-glob|pako)\// }, () => ({ contents: 'module.exports = {}' }))
    // Histogram log output. It creates a number formatter when it is loaded, which takes 25 of the 110 ms of loading the program's own modules.
    onLoad({ filter: /hdr-histogram-js\/dist\/HistogramLogWriter\.js$/ }, () => ({ contents: 'module.exports = {}' }))
  },
}

// Defines the CommonJS globals that bundled CommonJS libraries use, since an ES module has none.
const COMMONJS_NAMES = `
import { createRequire as __createRequire } from 'node:module'
import { fileURLToPath as __fileURLToPath } from 'node:url'
const require = __createRequire(import.meta.url)
const __filename = __fileURLToPath(import.meta.url)
const __dirname = __fileURLToPath(new URL('.', import.meta.url))
`

const ENTRY = 'reelspan.mjs'
const TARGET = join(ROOT, 'target')

const { outputFiles } = await build({
  entryPoints: { reelspan: join(ROOT, 'deploy/entry.ts') },
  outdir: TARGET,
  write: false,
  outExtension: { '.js': '.mjs' },
  splitting: true,
  plugins: [workspaceSources, unusedParts],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  // Optional dependencies of libraries, which are not used.
  external: ['dtrace-provider', 'bufferutil', 'utf-8-validate', 'mv', 'safe-json-stringify', 'moment', 'source-map-support', 'msgpackr-extract'],
  banner: { js: COMMONJS_NAMES },
})

// The names of all other files contain a digest of their content. The entry comes last, so that a process that starts meanwhile loads the files of one build.
mkdirSync(TARGET, { recursive: true })
const files = outputFiles.map(({ path, contents }) => ({ name: basename(path), contents }))
const [entry, parts] = [files.filter(({ name }) => name === ENTRY), files.filter(({ name }) => name !== ENTRY)];
[...parts, ...entry].forEach(({ name, contents }) => replaceFile(join(TARGET, name), contents))
const names = new Set(files.map(({ name }) => name))
readdirSync(TARGET).filter((name) => /\.mjs(\.\d+)?$/.test(name) && !names.has(name)).forEach((name) => rmSync(join(TARGET, name), { force: true }))

function replaceFile (path, contents) {
  const temporaryPath = `${path}.${process.pid}`
  writeFileSync(temporaryPath, contents)
  renameSync(temporaryPath, path)
}
