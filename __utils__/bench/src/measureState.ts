import { setMaxListeners } from 'node:events'
import { DeclarationsChecker } from '@reelspan/config.resources'
import { ConfigStore } from '@reelspan/config.store'
import { createPrefixIndex, PrefixIndexKind } from '@reelspan/scheduling.prefix-index'
import { sampleDeclarations } from '@reelspan/utils.fakes'

const PREFIX_ENGINES = 50
const PREFIX_ENTRIES = 4000
const CHANGES = 200
const WATCHES = 10_000

/** Measures the heap bytes of one entry of the prefix index. Requires `--expose-gc`. */
export function measurePrefixEntry (): number {
  const index = createPrefixIndex(PrefixIndexKind.Events)
  const heapBytesBefore = heapBytes()
  for (let engine = 0; engine < PREFIX_ENGINES; engine++) {
    for (let i = 0; i < PREFIX_ENTRIES; i++) index.recordSent(`engine-${engine}`, [{ digest: `${engine}.${i}`.padStart(12, '0'), tokens: 64 }], i)
  }
  return (heapBytes() - heapBytesBefore) / index.size
}

/** Measures the CPU time, in microseconds, to adopt one changed route in a configuration with the given number of routes. */
export function measureChange (routes: number): number {
  const store = createStore()
  const entries = sampleDeclarations().map((entry) => ({ ...entry, revision: 1 }))
  const route = (i: number, revision: number) => ({ kind: 'Route', name: `route-${i}`, revision, spec: { model: 'draft', ttftTargetMs: 300 + revision } })
  store.adopt({ revision: 1, full: true, changes: [...entries, ...Array.from({ length: routes }, (_, i) => route(i, 1))] }, 0)
  const cpuBefore = process.cpuUsage()
  for (let revision = 2; revision < 2 + CHANGES; revision++) store.adopt({ revision, full: false, changes: [route(revision % routes, revision)] }, revision - 1)
  const { user, system } = process.cpuUsage(cpuBefore)
  return (user + system) / CHANGES
}

/** Measures the heap bytes of one waiting watch. Requires `--expose-gc`. */
export function measureWatch (): number {
  const store = createStore()
  const abortController = new AbortController()
  setMaxListeners(0, abortController.signal)
  const heapBytesBefore = heapBytes()
  const watches = Array.from({ length: WATCHES }, () => store.waitAbove(0, abortController.signal))
  const bytes = (heapBytes() - heapBytesBefore) / WATCHES
  abortController.abort()
  void Promise.all(watches)
  return bytes
}

function createStore (): ConfigStore<unknown> {
  return new ConfigStore(new DeclarationsChecker().parse)
}

function heapBytes (): number {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
