import { hash32 } from './hash32.js'

/** Rendezvous hashing (highest random weight): orders `members` for `key` so that the loss of a member moves only its own keys. */
export function rankByRendezvous<T> (key: string, members: readonly T[], nameOf: (member: T) => string): T[] {
  return members
    .map((member) => ({ member, name: nameOf(member), weight: hash32(`${key}|${nameOf(member)}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ member }) => member)
}
