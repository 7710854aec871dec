/** Splits an `ip:port`. Removes the brackets of an IPv6 address. */
export function splitAddress (address: string): { host: string, port: number } {
  const colonIndex = address.lastIndexOf(':')
  return { host: address.slice(0, colonIndex).replace(/^\[|\]$/g, ''), port: Number(address.slice(colonIndex + 1)) }
}
