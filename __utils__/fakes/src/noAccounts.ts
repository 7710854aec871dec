import { type BoxAdmission } from '@reelspan/accounts.admission'

/** Takes every request in, for nobody: no client accounts are in use. */
export const NO_ACCOUNTS: BoxAdmission = {
  usesAccounts: false,
  isProved: true,
  admit: async () => ({ giveBack: () => {} }),
}
