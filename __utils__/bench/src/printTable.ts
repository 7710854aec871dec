/** Prints a row of a Markdown table, optionally preceded by the header. */
export function printTable (withHeader: boolean, row: Readonly<Record<string, string>>): void {
  if (withHeader) {
    console.log(`| ${Object.keys(row).join(' | ')} |`)
    console.log(`|${' --- |'.repeat(Object.keys(row).length)}`)
  }
  console.log(`| ${Object.values(row).join(' | ')} |`)
}
