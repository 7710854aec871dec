/** The only source of randomness. */
export abstract class Random {
  /** A number in [0, 1). */
  abstract nextFloat (): number

  /** A whole number in [0, bound). */
  nextInt (bound: number): number {
    return Math.floor(this.nextFloat() * bound)
  }

  /** `count` random hexadecimal digits. */
  hex (count: number): string {
    return Array.from({ length: count }, () => this.nextInt(16).toString(16)).join('')
  }

  /** Up to `count` different items, in random order. */
  sample<T> (items: readonly T[], count: number): T[] {
    const pool = [...items]
    const picked: T[] = []
    while (pool.length > 0 && picked.length < count) {
      picked.push(...pool.splice(this.nextInt(pool.length), 1))
    }
    return picked
  }
}
