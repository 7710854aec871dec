import { type BoxAdmission } from '@reelspan/accounts.admission'

/** Admission without client accounts: admits every request. */
export const NO_ACCOUNTS: BoxAdmission = {
  usesAccounts: false,
  hasFreshProof: true,
  admit: async () => ({ releaseCost: () => {} }),
}
