import { type Member, MemberHealth } from '@reelspan/core.messages'

/** The live member with the number `i`, which is also its port. */
export function memberOf (i: number): Member {
  return {
    name: `box-${i}`,
    availabilityZone: 'zone',
    peerAddress: `10.0.0.1:${i}`,
    callerAddress: '',
    incarnation: `incarnation-${i}`,
    version: 0,
    health: MemberHealth.Alive,
    leaving: false,
  }
}
