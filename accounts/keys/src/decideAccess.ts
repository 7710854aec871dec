import { type AccountSpec, type Configuration, type Named } from '@reelspan/config.resources'

export enum Access {
  /** The request belongs to an account. */
  Granted = 'granted',
  /** The request needs no account. */
  Anonymous = 'anonymous',
  KeyMissing = 'keyMissing',
  KeyUnknown = 'keyUnknown',
  /** Keys may have been revoked without this box having received the update. */
  Unproved = 'unproved',
}

export interface AccessInputs {
  configuration: Pick<Configuration, 'accounts' | 'accountOfKey'>
  /** Requests need a key even if no account is declared. */
  required: boolean
  /** The route accepts requests without a key. */
  open: boolean
  /** Digest of the key that was sent, if any. */
  keyDigest?: string
  /** Whether the configuration is known to be recent enough. */
  hasFreshProof: boolean
}

export interface AccessDecision {
  access: Access
  account?: Named<AccountSpec>
}

/**
 * Decides which account a request belongs to. Keys are looked up by digest, so the lookup time reveals nothing about a
 * key. An unknown key is not treated as a missing one: on an open route a revoked key would otherwise continue to work.
 */
export function decideAccess ({ configuration, required, open, keyDigest, hasFreshProof }: AccessInputs): AccessDecision {
  const declared = configuration.accounts().length > 0
  if (!declared && !required) return { access: Access.Anonymous }
  if (keyDigest === undefined) return { access: open ? Access.Anonymous : Access.KeyMissing }
  // If accounts are required and none is declared, the configuration in force is incomplete.
  if (!hasFreshProof || !declared) return { access: Access.Unproved }
  const account = configuration.accountOfKey(keyDigest)
  return account ? { access: Access.Granted, account } : { access: Access.KeyUnknown }
}
