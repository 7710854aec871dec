// How a case ends: with the exit codes of run.sh, and without anything that it started.

/** Exit codes of a case. */
export const ExitCode = { Held: 0, Broken: 1, CouldNotRun: 2 }

/**
 * Plays a case, judges its record and exits.
 *
 * @param play starts the deployment and sends the requests
 * @param judge returns the exit code
 * @param cleanUp ends the processes that were started
 */
export async function runCase ({ record, play, judge, cleanUp }) {
  const end = async (code) => {
    await cleanUp()
    await record.close()
    process.exit(code)
  }
  // A time-out signals the process and its group, so that the signal comes twice.
  let ending = false
  process.on('SIGTERM', () => {
    if (!ending) end(ExitCode.CouldNotRun)
    ending = true
  })
  let code = ExitCode.CouldNotRun
  try {
    await play()
    code = judge()
  } catch (thrown) {
    record.add('failed', { text: String(thrown?.stack ?? thrown) })
    console.error(thrown)
  }
  await end(code)
}
