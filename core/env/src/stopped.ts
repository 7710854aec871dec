/**
 * Abort reason for regular stops. Without a reason, each abort creates an
 * exception with its stack trace, at a cost that shows in profiles.
 */
export const STOPPED = 'stopped'
