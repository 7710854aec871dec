import { readFileSync } from 'node:fs'

const KB_PER_MB = 1024

/** Memory that processes hold together, shared pages counted once, and how many of them there are. */
export function measureMemory (pids: readonly number[]): { processes: number, sharedOnceMb: number } {
  const sizesKb = pids.map(readSharedOnceKb).filter((kb) => kb !== undefined)
  return { processes: sizesKb.length, sharedOnceMb: Math.round(sizesKb.reduce((sum, kb) => sum + kb, 0) / KB_PER_MB) }
}

/** Nothing for a process that has just ended. */
function readSharedOnceKb (pid: number): number | undefined {
  try {
    const [, kb] = /^Pss: +(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')) ?? []
    return Number(kb)
  } catch {
    // It ended between the look and the read, and holds no memory.
    return undefined
  }
}
