const MAX_DISTANCE = 3

/** Returns the known name closest to a misspelt one, or undefined if none is close. */
export function suggestName (given: string, known: readonly string[]): string | undefined {
  const [best] = known
    .map((name) => ({ name, distance: editDistance(given.toLowerCase(), name.toLowerCase()) }))
    .sort((a, b) => a.distance - b.distance)
  return best && best.distance <= Math.min(MAX_DISTANCE, given.length - 1) ? best.name : undefined
}

function editDistance (a: string, b: string): number {
  return [...a].reduce((previous, charA, i) => {
    const row = [i + 1]
    previous.slice(1).forEach((above, j) => {
      row.push(Math.min(above + 1, row[j] + 1, previous[j] + (charA === b[j] ? 0 : 1)))
    })
    return row
  }, Array.from({ length: b.length + 1 }, (_, j) => j)).at(-1) as number
}
