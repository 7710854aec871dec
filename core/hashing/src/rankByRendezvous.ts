import { hash32 } from './hash32.js'

/** Orders `members` for `key` so that losing a member moves only what it held (highest random weight). */
export function rankByRendezvous<T> (key: string, members: readonly T[], nameOf: (member: T) => string): T[] {
  return members
    .map((member) => ({ member, name: nameOf(member), weight: hash32(`${key}|${nameOf(member)}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ member }) => member)
}
