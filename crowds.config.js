/** Tests of processes among clients that don't behave, one at a time. */
export default {
  files: ['*/*/test.lib/crowds/**/*.js'],
  concurrency: 1,
  serial: true,
  timeout: '250s',
}
