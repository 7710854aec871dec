import { readFileSync } from 'node:fs'

const KB_PER_MB = 1024

/** Measures the total memory of processes, with shared pages counted once (proportional set size), and counts the processes. */
export function measureMemory (pids: readonly number[]): { processes: number, pssMb: number } {
  const sizesKb = pids.map(readPssKb).filter((kb) => kb !== undefined)
  return { processes: sizesKb.length, pssMb: Math.round(sizesKb.reduce((sum, kb) => sum + kb, 0) / KB_PER_MB) }
}

/** Returns undefined for a process that has just exited. */
function readPssKb (pid: number): number | undefined {
  try {
    const [, kb] = /^Pss: +(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8')) ?? []
    return Number(kb)
  } catch {
    // The process exited before the read and holds no memory.
    return undefined
  }
}
