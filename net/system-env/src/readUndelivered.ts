import { readFile } from 'node:fs/promises'
import { isIPv4, type Socket } from 'node:net'
import { type CallerReader } from '@reelspan/net.byte-budget'
import { ResponseReader } from './responseReader.js'

/** The tables of TCP connections of Linux. */
const TABLE_PATHS = ['/proc/self/net/tcp', '/proc/self/net/tcp6']
const MAPPED_IPV4_PREFIX = '::ffff:'
/** How the table of IPv6 connections starts the address of a mapped IPv4 address. */
const MAPPED_IPV4_WORDS = '0000000000000000FFFF0000'
const HEX = 16
/** Long enough for the two columns after the addresses in both tables: state, and queues as TX:RX in 8 hexadecimal digits each. */
const FOLLOWING_COLUMNS_LENGTH = 24

/**
 * Returns the bytes that the operating system has taken for callers and that they have not acknowledged. Node
 * learns that there is space in a socket's send buffer only when a third of it is free, more than a megabyte for a
 * fast connection, so that a caller that reads slowly but steadily seems to read nothing for seconds. Without
 * these tables, on other systems, the result is empty.
 */
export async function readUndelivered (readers: readonly CallerReader[]): Promise<ReadonlyMap<CallerReader, number>> {
  const readerByKey = new Map(readers.flatMap((reader) => {
    const socket = reader instanceof ResponseReader ? reader.socket : undefined
    return socket ? tableKeysOf(socket).map((key) => [key, reader] as const) : []
  }))
  const tables = await Promise.all(TABLE_PATHS.map((path) => readFile(path, 'latin1').catch(() => '')))
  // The tables list every connection of the machine, so only the lines of these callers are parsed.
  return new Map(tables.flatMap((table) => [...readerByKey].flatMap(([key, reader]) => {
    const at = table.indexOf(key)
    if (at < 0) return []
    const [, queues] = table.slice(at + key.length, at + key.length + FOLLOWING_COLUMNS_LENGTH).trim().split(/\s+/)
    return [[reader, parseInt(queues, HEX)] as const]
  })))
}

/** How the tables name a connection. Only those over IPv4 are looked up. */
function tableKeysOf ({ localAddress = '', localPort = 0, remoteAddress = '', remotePort = 0 }: Socket): string[] {
  const [local, remote] = [localAddress, remoteAddress].map((address) => address.replace(MAPPED_IPV4_PREFIX, ''))
  if (!isIPv4(local) || !isIPv4(remote)) return []
  return ['', MAPPED_IPV4_WORDS].map((prefix) => `${prefix}${hexAddress(local, localPort)} ${prefix}${hexAddress(remote, remotePort)}`)
}

/** The tables show an address as a number in the byte order of the machine, which is little-endian on all common ones. */
function hexAddress (address: string, port: number): string {
  const bytes = address.split('.').reverse().map((part) => toHex(Number(part), 2))
  return `${bytes.join('')}:${toHex(port, 4)}`
}

function toHex (value: number, digits: number): string {
  return value.toString(HEX).toUpperCase().padStart(digits, '0')
}
