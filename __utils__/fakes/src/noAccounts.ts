import { type BoxAdmission } from '@reelspan/accounts.admission'

/** Admission without client accounts: admits every request. */
export const NO_ACCOUNTS: BoxAdmission = {
  usesAccounts: false,
  isProved: true,
  admit: async () => ({ giveBack: () => {} }),
}
