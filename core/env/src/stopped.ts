/**
 * Reason of aborts that are part of the usual course of things. Without one,
 * each abort makes an exception object with its stack, which shows in profiles.
 */
export const STOPPED = 'stopped'
