/** The parts of an `ip:port`; an IPv6 number loses its brackets. */
export function splitAddress (address: string): { host: string, port: number } {
  const at = address.lastIndexOf(':')
  return { host: address.slice(0, at).replace(/^\[|\]$/g, ''), port: Number(address.slice(at + 1)) }
}
