import { FleetEntryKind, UpstreamKind } from '@reelspan/config.fleet'
import { PoolRole, ResourceKind } from '@reelspan/config.resources'
import { Collection } from '@reelspan/core.messages'
import { type PlatformModel, type PublishedEntry } from './platformModel.js'

export interface DeployedUpstream {
  name: string
  kind: UpstreamKind
  pool: string
  availabilityZone: string
}

export interface DeployedBox {
  name: string
  availabilityZone: string
}

const ZONES = ['hall-a', 'hall-b', 'hall-c']
const PREFILL_ENGINES = 3
const DECODE_ENGINES = 5
const SERVICES = 3
const BOXES = 8
const KV_BYTES_PER_ENGINE = 4_000_000_000
const LINK_BYTES_PER_SECOND = 5_000_000_000

/** Sample declarations: one model in two pools, and a desk service whose bookings are not repeatable. */
export function sampleDeclarations (): PublishedEntry[] {
  return [
    { kind: ResourceKind.Pool, name: 'draft-prefill', spec: { role: PoolRole.Prefill, linkBytesPerSecond: LINK_BYTES_PER_SECOND } },
    { kind: ResourceKind.Pool, name: 'draft-decode', spec: { role: PoolRole.Decode, minReadyEngines: 3, kvBytesPerEngine: KV_BYTES_PER_ENGINE, linkBytesPerSecond: LINK_BYTES_PER_SECOND } },
    { kind: ResourceKind.Pool, name: 'script-desk', spec: { role: PoolRole.Service } },
    {
      kind: ResourceKind.Model,
      name: 'draft',
      spec: {
        version: '1',
        prefillPool: 'draft-prefill',
        decodePool: 'draft-decode',
        kvBytesPerToken: 100_000,
        prefillTokensPerSecond: 8000,
        decodeStepBaseMs: 25,
        decodeStepPerRequestMs: 2,
      },
    },
    { kind: ResourceKind.Route, name: 'drafts', spec: { model: 'draft' } },
    { kind: ResourceKind.Route, name: 'desk', spec: { pool: 'script-desk', pathPrefix: '/desk' } },
    { kind: ResourceKind.Route, name: 'bookings', spec: { pool: 'script-desk', method: 'POST', pathPrefix: '/desk/bookings', notRepeatable: true } },
  ]
}

/** Boxes and upstreams of the sample deployment. */
export function sampleFleet (): { boxes: DeployedBox[], upstreams: DeployedUpstream[] } {
  const zone = (i: number) => ZONES[i % ZONES.length]
  const upstreams = (count: number, name: string, kind: UpstreamKind, pool: string) =>
    Array.from({ length: count }, (_, i): DeployedUpstream => ({ name: `${name}-${i + 1}`, kind, pool, availabilityZone: zone(i) }))
  return {
    boxes: Array.from({ length: BOXES }, (_, i) => ({ name: `box-${i + 1}`, availabilityZone: zone(i) })),
    upstreams: [
      ...upstreams(PREFILL_ENGINES, 'prefill', UpstreamKind.Engine, 'draft-prefill'),
      ...upstreams(DECODE_ENGINES, 'decode', UpstreamKind.Engine, 'draft-decode'),
      ...upstreams(SERVICES, 'desk', UpstreamKind.Service, 'script-desk'),
    ],
  }
}

/** Publishes boxes and upstreams with their addresses in the platform's fleet list. */
export function publishFleet (platform: PlatformModel, boxes: readonly (DeployedBox & { peerAddress: string })[], upstreams: readonly (DeployedUpstream & { address: string })[]): void {
  platform.publish(Collection.Fleet, [
    ...boxes.map(({ name, ...spec }) => ({ kind: FleetEntryKind.Box, name, spec })),
    ...upstreams.map(({ name, ...spec }) => ({ kind: FleetEntryKind.Upstream, name, spec })),
  ])
}
