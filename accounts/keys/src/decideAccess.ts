import { type AccountSpec, type Configuration, type Named } from '@reelspan/config.resources'

export enum Access {
  /** The request is an account's. */
  Granted = 'granted',
  /** The request needs no account. */
  Anonymous = 'anonymous',
  KeyMissing = 'keyMissing',
  KeyUnknown = 'keyUnknown',
  /** Keys may have been taken away that this box has not heard of. */
  Unproved = 'unproved',
}

export interface AccessQuestion {
  configuration: Pick<Configuration, 'accounts' | 'accountOfKey'>
  /** Requests need a key also while no account is declared. */
  required: boolean
  /** The route takes requests without a key. */
  open: boolean
  /** Of the key that the request brought, if any. */
  keyDigest?: string
  /** Whether the configuration is proved to be new enough. */
  proved: boolean
}

export interface AccessDecision {
  access: Access
  account?: Named<AccountSpec>
}

/**
 * Which account a request belongs to. Keys are looked up by their digests, so the time that takes says nothing of
 * a key. A key that no account has is not taken for none: on an open route it would go on to work after it was taken away.
 */
export function decideAccess ({ configuration, required, open, keyDigest, proved }: AccessQuestion): AccessDecision {
  const declared = configuration.accounts().length > 0
  if (!declared && !required) return { access: Access.Anonymous }
  if (keyDigest === undefined) return { access: open ? Access.Anonymous : Access.KeyMissing }
  // Where accounts are required and none is declared, what is in force cannot be all there is.
  if (!proved || !declared) return { access: Access.Unproved }
  const account = configuration.accountOfKey(keyDigest)
  return account ? { access: Access.Granted, account } : { access: Access.KeyUnknown }
}
