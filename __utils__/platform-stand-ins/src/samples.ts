/** A configuration as the platform publishes it, with a model service and a plain service. */
export const SAMPLE_CONFIGURATION = {
  version: 7,
  routes: [
    { name: 'r-draft', host: 'scripts.example', path_prefix: '/draft/', kind: 'streaming', timeout_ms: 14_000, target_latency_ms: 900, priority: 1, traffic_split: [{ service: 'llm', weight: 90 }, { service: 'desk', weight: 10 }], max_attempts: 1, allow_resume: false, gap_target_ms: 300, session_affinity: true },
    { name: 'r-reply', host: 'scripts.example', path_prefix: '/reply/', kind: 'streaming', timeout_ms: 14_000, service: 'llm', max_attempts: 2, allow_resume: true },
    { name: 'r-fetch', host: 'scripts.example', path_prefix: '/fetch/', kind: 'unsafe', timeout_ms: 1200, service: 'desk', max_attempts: 1 },
    { name: 'r-status', host: 'scripts.example', path_prefix: '/fetch/status/', kind: 'safe', timeout_ms: 1200, service: 'desk', max_attempts: 2 },
  ],
  services: [
    { name: 'llm', health_check: '/health', max_connections: 370, engine: { slots: 64, kv_capacity: 1000, token_kv_bytes: 10, link_mbps: 8, stride: 12, kv_hold_s: 0.5, models: [{ name: 'm' }] } },
    { name: 'desk', health_check: '/health', max_connections: 110 },
  ],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
}

/** An upstream's entry as it writes it to the store. */
export function sampleUpstreamEntry (overrides: Record<string, unknown> = {}) {
  return { service: 'desk', address: '10.0.0.9:8080', zone: 'hall-a', version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, sequence: 1, ...overrides }
}

/** A sample of a box's settings file. */
export const SAMPLE_SETTINGS_FILE = `node=front-hall-a-1
role=box
zone=hall-a
listen.front=10.1.0.38:8149
listen.ready=10.1.0.38:8141
listen.control=10.1.0.38:8144
listen.directory=10.1.0.38:8143
port_range=7380,7395
seeds=10.1.0.38:8144,10.2.0.40:8144
bounds.grace_s=8
bounds.budget_slack=58
bounds.retry_budget=0.2
platform.address=10.200.1.7:8142
something.new=1
`

/** Listening addresses of a box. */
export interface BoxAddresses {
  front: string
  ready: string
  control: string
  directory: string
}

/** Formats the settings file of a box. */
export function settingsFileText (box: { name: string, zone: string, addresses: BoxAddresses, seeds: readonly string[], store: string }, extraLines: readonly string[] = []): string {
  const { name, zone, addresses, seeds, store } = box
  return [
    `node=${name}`,
    `zone=${zone}`,
    ...Object.entries(addresses).map(([role, address]) => `listen.${role}=${address}`),
    'port_range=7380,7395',
    `seeds=${seeds.join(',')}`,
    `platform.address=${store}`,
    'bounds.grace_s=8',
    'bounds.budget_slack=58',
    'bounds.retry_budget=0.2',
    ...extraLines,
    '',
  ].join('\n')
}

/** Headers of a client's attempt. With a prompt, its own last part, it is an attempt for a model route; `sharedParts` are the parts before. */
export function requestHeaders (id: string, opts: { deadlineMs?: number, prompt?: string, sharedParts?: readonly string[], tokenCount?: string, key?: string }): Record<string, string> {
  const { sharedParts = ['aa'] } = opts
  return {
    host: 'scripts.example',
    'X-Reelspan-Request-Id': id,
    ...opts.key === undefined ? {} : { Authorization: `Bearer ${opts.key}` },
    ...opts.deadlineMs === undefined ? {} : { 'X-Reelspan-Deadline-Ms': String(opts.deadlineMs) },
    ...opts.prompt === undefined ? {} : { 'X-Reelspan-Model': 'm', 'X-Reelspan-Token-Count': opts.tokenCount ?? '50,24', 'X-Reelspan-Prompt-Prefix': [...sharedParts.map((part) => `${part}:20`), `${opts.prompt}:30`].join(',') },
  }
}

/** The signature of the upstream in the headers of an answer. */
export function signatureOf (headers: Readonly<Record<string, string | string[] | undefined>>): string | undefined {
  return headers['x-reelspan-server-stamp']?.toString()
}
