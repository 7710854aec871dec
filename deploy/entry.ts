// Installed before the program is loaded, since a SIGHUP without a listener terminates the process.
process.on('SIGHUP', () => {})

const { main } = await import('../cli/reelspan/src/main.ts')
// What a box that failed to start already listens on would keep the process alive.
process.exit(await main(process.argv.slice(2)))
