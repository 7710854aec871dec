export default {
  files: [
    '*/*/test.lib/**/*.js',
    '!**/test.lib/__utils__/**',
    // These measure the memory of a process, so nothing runs beside them.
    '!**/test.lib/crowds/**',
  ],
  timeout: '120s',
}
