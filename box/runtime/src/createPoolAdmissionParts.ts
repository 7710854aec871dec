import { type Configuration, LimitUnit } from '@reelspan/config.resources'
import { type Member, MessageType, type PoolShortage } from '@reelspan/core.messages'
import { Broadcaster } from '@reelspan/membership.prober'
import { CoordinatedPools, PoolCoordinator } from '@reelspan/scheduling.pool-admission'
import { LogEvent } from '@reelspan/telemetry.log'
import { type BoxParts } from './boxParts.js'

/**
 * Admission shares a pool that is short among accounts. With none to share it, the queues inside the upstreams serve more:
 * with calls of very uneven duration, estimated limits were below what upstreams can take.
 */
const MIN_ACCOUNTS = 2
/** Same timeout as for other calls between boxes. */
const REPORT_TIMEOUT_MS = 300

/** State of the service pools that this box coordinates. */
export function createPoolCoordinator (parts: BoxParts): PoolCoordinator {
  const { clock, fleet, poolWeights, upstreamReports } = parts
  return new PoolCoordinator({
    clock,
    upstreamsOf: (pool) => fleet.value.takingWork(pool).map(({ name }) => name),
    isFailing: (upstream) => upstreamReports.isFailing(upstream),
    weightOf: (account) => poolWeights.of(account),
    announcedLimitOf: (pool) => parts.pools.limitOf(pool),
    onTaskError: (thrown) => parts.failures.recordTask('poolCoordinator', thrown),
  })
}

/** Returns the same array for the same members. */
function membersAdmittingPoolCalls (members: readonly Member[]): readonly Member[] {
  const known = admitting.get(members) ?? members.filter(({ admitsPoolCalls }) => admitsPoolCalls)
  admitting.set(members, known)
  return known
}

const admitting = new WeakMap<readonly Member[], readonly Member[]>()

export function createPoolWeights ({ declarations }: BoxParts): AccountWeights {
  return new AccountWeights(() => declarations.value)
}

export function createPools (parts: BoxParts): CoordinatedPools {
  const { clock, declarations, link, log, metrics, poolBroadcaster, poolCoordinator, poolWeights, view } = parts
  return new CoordinatedPools({
    clock,
    link,
    coordinator: poolCoordinator,
    members: () => membersAdmittingPoolCalls(view.takingWork()),
    self: () => view.self,
    weightOf: (account) => poolWeights.of(account),
    isEnabled: () => declarations.value.accounts().length >= MIN_ACCOUNTS,
    broadcast: (shortages) => poolBroadcaster.broadcast(shortages),
    onShortageStarted: (pool) => {
      metrics.count('reelspan_pool_shortages_total', { pool })
      log.warn(LogEvent.PoolShortageChanged, { pool, short: true, coordinates: parts.pools.isCoordinator(pool) })
    },
    onShortageEnded: (pool, shortMs) => log.info(LogEvent.PoolShortageChanged, { pool, short: false, shortMs: Math.round(shortMs) }),
    onTaskError: (thrown) => parts.failures.recordTask('pools', thrown),
  })
}

/** Lost reports are not sent again, since a shortage that lasts is reported again. */
export function createPoolBroadcaster (parts: BoxParts): Broadcaster<PoolShortage> {
  const { clock, link, prober, view } = parts
  return new Broadcaster({
    clock,
    watchedAddresses: () => {
      const addresses = new Set(membersAdmittingPoolCalls(view.takingWork()).map(({ peerAddress }) => peerAddress))
      return prober.watchedAddresses().filter((address) => addresses.has(address))
    },
    // The link logs a failure.
    send: async (address, shortages, signal) => {
      await link.call(address, { type: MessageType.PoolsTell, shortages: [...shortages] }, { timeoutMs: REPORT_TIMEOUT_MS, repeatable: true, signal }).catch(() => {})
    },
    onTaskError: (thrown) => parts.failures.recordTask('poolBroadcaster', thrown),
  })
}

/** Weights of client accounts, relative to their mean. The weight of an account is the rate of its limit if that counts tokens; others have the mean. */
export class AccountWeights {
  readonly #configuration: () => Configuration
  #of?: Configuration
  #weights = new Map<string, number>()

  constructor (configuration: () => Configuration) {
    this.#configuration = configuration
  }

  of (account: string): number {
    const configuration = this.#configuration()
    if (configuration !== this.#of) {
      this.#of = configuration
      this.#weights = weightsIn(configuration)
    }
    return this.#weights.get(account) ?? 1
  }
}

function weightsIn (configuration: Configuration): Map<string, number> {
  const rates = configuration.accounts().flatMap(({ name, spec: { limit } }) => limit?.unit === LimitUnit.Tokens ? [{ name, perSecond: limit.perSecond }] : [])
  const mean = rates.reduce((total, { perSecond }) => total + perSecond, 0) / rates.length
  return new Map(rates.map(({ name, perSecond }) => [name, perSecond / mean]))
}
