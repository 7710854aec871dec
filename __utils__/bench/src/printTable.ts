/** Prints a row of a Markdown table, with its head when asked to. */
export function printTable (withHead: boolean, row: Readonly<Record<string, string>>): void {
  if (withHead) {
    console.log(`| ${Object.keys(row).join(' | ')} |`)
    console.log(`|${' --- |'.repeat(Object.keys(row).length)}`)
  }
  console.log(`| ${Object.values(row).join(' | ')} |`)
}
