export { TcpUpstreamProbe } from './tcpUpstreamProbe.js'
export type { TcpUpstreamProbeOptions } from './tcpUpstreamProbe.js'
