import { type RelayAnswer } from '@reelspan/upstream.client'

const FIRST_SUCCESS = 200
const FIRST_REDIRECT = 300

/** Whether an answer claims a success without the signature of its upstream. Failures need none. */
export function isUnsignedSuccess ({ status, unsigned = false }: Pick<RelayAnswer, 'status' | 'unsigned'>): boolean {
  return unsigned && status >= FIRST_SUCCESS && status < FIRST_REDIRECT
}
