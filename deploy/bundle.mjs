// Bundles the box program from its sources into target/: a few files, of which a
// start reads only those that it needs.
import { existsSync, realpathSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'

const ROOT = join(import.meta.dirname, '..')

// The workspace's packages are taken from their sources, so that nothing needs to be compiled before.
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

// Parts of libraries that nothing here uses, and that cost each start their reading.
const unusedParts = {
  name: 'unused-parts',
  setup ({ onLoad }) {
    // Error texts in other languages.
    onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({ contents: "export { default as en } from './en.js'" }))
    // Looking for modules in folders, and packing histograms.
    onLoad({ filter: /node_modules\/(fast-glob|pako)\// }, () => ({ contents: 'module.exports = {}' }))
    // Writing histograms to a log, which makes a formatter of numbers when it is loaded: 25 of the 110 ms that the program's own modules take (sampled profile of a start).
    onLoad({ filter: /hdr-histogram-js\/dist\/HistogramLogWriter\.js$/ }, () => ({ contents: 'module.exports = {}' }))
  },
}

// CommonJS libraries inside an ES module need these.
const COMMONJS_NAMES = `
import { createRequire as __createRequire } from 'node:module'
import { fileURLToPath as __fileURLToPath } from 'node:url'
const require = __createRequire(import.meta.url)
const __filename = __fileURLToPath(import.meta.url)
const __dirname = __fileURLToPath(new URL('.', import.meta.url))
`

await build({
  entryPoints: { reelspan: join(ROOT, 'deploy/entry.ts') },
  outdir: join(ROOT, 'target'),
  outExtension: { '.js': '.mjs' },
  splitting: true,
  plugins: [workspaceSources, unusedParts],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  // Optional parts of libraries that are not used.
  external: ['dtrace-provider', 'bufferutil', 'utf-8-validate', 'mv', 'safe-json-stringify', 'moment', 'source-map-support', 'msgpackr-extract'],
  banner: { js: COMMONJS_NAMES },
})
