import { type Settings } from '@reelspan/config.settings'

/** Names, as `section.key`, of the settings that differ. */
export function changedKeys (before: Settings, after: Settings): string[] {
  return (Object.keys(after) as (keyof Settings)[]).flatMap((section) => {
    const old: Record<string, unknown> = before[section]
    return Object.entries(after[section])
      .filter(([key, value]) => JSON.stringify(value) !== JSON.stringify(old[key]))
      .map(([key]) => `${section}.${key}`)
  })
}
