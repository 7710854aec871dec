import { hash32 } from './hash32.js'

/** Returns the first member of `rankByRendezvous` in one pass. */
export function topByRendezvous<T> (key: string, members: readonly T[], nameOf: (member: T) => string): T | undefined {
  let top: { member: T, name: string, weight: number } | undefined
  members.forEach((member) => {
    const name = nameOf(member)
    const weight = hash32(`${key}|${name}`)
    const higher = !top || weight > top.weight || (weight === top.weight && name < top.name)
    if (higher) top = { member, name, weight }
  })
  return top?.member
}
