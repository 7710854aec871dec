export { MembershipView } from './membershipView.js'
export type { MembershipViewOptions } from './membershipView.js'
export { mergeMember } from './mergeMember.js'
