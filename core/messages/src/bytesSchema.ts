import { z } from 'zod'

/** Raw bytes. */
export const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array, 'expected bytes')
