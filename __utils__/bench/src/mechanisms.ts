/** A mechanism, how to put it out of action, and the tests that must then fail. */
export interface Mechanism {
  name: string
  file: string
  find: string
  replace: string
  /** Compiled test files. */
  tests: string[]
}

const HOLDS = 'box/runtime/test.lib/holds.js'
const ONCE_ONLY = 'box/runtime/test.lib/notRepeatableRequests.js'
const LEFT_CALLER = 'request/relay/test.lib/callerDisconnects.js'
const WHOLE_ANSWERS = 'box/runtime/test.lib/answerIntegrity.js'
const CONFIGURATION = 'box/runtime/test.lib/configuration.js'
const LEAVING = 'box/runtime/test.lib/plannedStopAndDraining.js'
const ORDERS = 'box/runtime/test.lib/orders.js'
const MEMBERSHIP = 'box/runtime/test.lib/membership.js'
const SCHEDULER = 'scheduling/scheduler/test.lib/shardScheduler.js'
const ROLES = 'upstream/orders/test.lib/roleBalancer.js'
const STORE = 'config/store/test.lib/configStore.js'
const CRASHING = 'box/runtime/test.lib/crashingRequest.js'
const JUDGE = 'request/quarantine/test.lib/judgeRequest.js'
const ACCOUNTS = 'box/runtime/test.lib/accounts.js'
const LIMITED = 'box/runtime/test.lib/upstreamLimitShared.js'
const DRAINING = 'box/runtime/test.lib/drainingUpstream.js'
const RESTORED = 'box/runtime/test.lib/restoredPlatform.js'
const RETURNS = 'platform/adapter/test.lib/restoredStoreReader.js'
const ENGINE_LIMITS = 'scheduling/scheduler/test.lib/engineLimits.js'

/** What the promises rest on. */
export const MECHANISMS: Mechanism[] = [
  {
    name: 'declarations of a restored store are ordered by the operator\'s version',
    file: 'platform/adapter/src/configurationMirror.ts',
    find: 'if (configuration.version <= this.#version) return false',
    replace: '',
    tests: [RETURNS],
  },
  {
    name: 'lists of a restored store are ordered by era first',
    file: 'config/store/src/storeRevision.ts',
    find: 'const REVISIONS_PER_ERA = 2 ** 40',
    replace: 'const REVISIONS_PER_ERA = 1',
    tests: [RETURNS],
  },
  {
    name: 'a restored store is read whole before it is watched',
    file: 'platform/adapter/src/storeMirror.ts',
    find: 'if (!read || read.readAt.era > this.#cursor.era) return',
    replace: 'if (!read) return',
    tests: [RETURNS],
  },
  {
    name: 'answers from before a store was restored are dropped',
    file: 'platform/adapter/src/storeClient.ts',
    find: 'if (era < this.#era.current) throw',
    replace: 'if (era < 0) throw',
    tests: [RETURNS],
  },
  {
    name: 'upstreams that had left get no work from a restored store\'s list',
    file: 'config/fleet/src/reconciledFleet.ts',
    find: ' || this.#departures.has(name))',
    replace: ')',
    tests: [RESTORED],
  },
  {
    name: 'boxes that start after a store was restored are told which upstreams were draining',
    file: 'box/runtime/src/reconciler.ts',
    find: 'upstreamStates.observe(name, REMEMBERED_DRAINING, clock.nowMs())',
    replace: 'upstreamStates.isDraining(name)',
    tests: ['platform/adapter/test.lib/restoredStore.js'],
  },
  {
    name: 'upstreams that are missing in a restored store\'s list are kept for a while',
    file: 'config/fleet/src/reconciledFleet.ts',
    find: 'mayHaveExpired() || this.#departures.sinceRestoredMs < REREGISTRATION_MS',
    replace: 'mayHaveExpired()',
    tests: ['config/fleet/test.lib/restoredList.js'],
  },
  {
    name: 'a restored store proves nothing of the configuration at first',
    file: 'config/store/src/configFollower.ts',
    find: 'shownRevision >= revision && sinceRestoredMs >= REWRITE_WINDOW_MS',
    replace: 'sinceRestoredMs >= 0',
    tests: ['config/store/test.lib/restoredPlatform.js'],
  },
  {
    name: 'keyed requests are taken within the bound of the proof alone',
    file: 'accounts/proof/src/freshnessProof.ts',
    find: 'return maxAgeMs === undefined || this.ageMs < maxAgeMs',
    replace: 'return maxAgeMs === undefined || this.ageMs < 100 * maxAgeMs',
    tests: [ACCOUNTS],
  },
  {
    name: 'a peer\'s proof counts from when the peer was asked',
    file: 'accounts/proof/src/freshnessProof.ts',
    find: 'this.recordRead(revision, askedAtMs - ageMs)',
    replace: 'this.recordRead(revision, askedAtMs)',
    tests: ['accounts/proof/test.lib/freshnessProof.js'],
  },
  {
    name: 'a suspension ends all proofs',
    file: 'box/runtime/src/box.ts',
    find: `    freshnessProof.invalidate()
`,
    replace: '',
    tests: [ACCOUNTS],
  },
  {
    name: 'keys stop at the box',
    file: 'platform/adapter/src/upstreamHeaders.ts',
    find: '...keysBelongToAccounts ? CREDENTIAL_HEADERS : []',
    replace: '',
    tests: ['platform/adapter/test.lib/accounts.js'],
  },
  {
    name: 'boxes go past upstreams of which others agree that they fail',
    file: 'upstream/health/src/upstreamFailureReports.ts',
    find: '(this.#avoidUntilMs.get(upstream) ?? 0) > this.#clock.nowMs()',
    replace: 'this.#avoidUntilMs.get(upstream) === -1',
    tests: ['box/runtime/test.lib/upstreamReports.js'],
  },
  {
    name: 'one box keeps an account\'s limit for all',
    file: 'membership/limits/src/coordinatedLimiter.ts',
    find: 'if (answer !== undefined) return answer',
    replace: 'if (answer !== undefined) return 0',
    tests: [ACCOUNTS],
  },
  {
    name: 'one box keeps an upstream\'s permits for all',
    file: 'box/runtime/src/createLimitParts.ts',
    find: 'waitMs: permitBuckets.acquire(upstream, cost)',
    replace: 'waitMs: 0 * permitBuckets.acquire(upstream, cost)',
    tests: [LIMITED],
  },
  {
    name: 'a limit that one box hears of is told to others',
    file: 'upstream/signals/src/upstreamStates.ts',
    find: 'if (changed && update && this.mayForward(update)) this.#opts.onChanged?.(update)',
    replace: '',
    tests: [LIMITED],
  },
  {
    name: 'an upstream that advertises draining is leaving in the list that boxes act by',
    file: 'config/fleet/src/reconciledFleet.ts',
    find: 'this.#opts.draining?.has(name) === true',
    replace: 'this.#opts.draining?.has(name) === undefined',
    tests: [DRAINING],
  },
  {
    name: 'a draining upstream is told to other boxes',
    file: 'upstream/signals/src/upstreamStates.ts',
    find: 'draining: draining || this.isDraining(upstream) })',
    replace: 'draining: this.isDraining(upstream) })',
    tests: [DRAINING],
  },
  {
    name: 'a box backs off from an upstream that asked it to',
    file: 'upstream/signals/src/backoffs.ts',
    find: 'Math.max(0, (this.#untilMs.get(upstream) ?? 0) - this.#opts.clock.nowMs())',
    replace: 'Math.min(0, this.#untilMs.get(upstream) ?? 0)',
    tests: ['box/runtime/test.lib/retryAfter.js'],
  },
  {
    name: 'an engine that asked for a wait while the prompt was read gets no decode',
    file: 'request/relay/src/completionRelay.ts',
    find: 'if (opts.fleet().takesWork(engine) && backoffMs === 0) return',
    replace: 'if (opts.fleet().takesWork(engine)) return',
    tests: ['request/relay/test.lib/upstreamSignals.js'],
  },
  {
    name: 'a scheduler places no more than engines take',
    file: 'scheduling/scheduler/src/shardScheduler.ts',
    find: 'this.#limits.recordPlacement([prefill.name, decode.name])',
    replace: '',
    tests: [ENGINE_LIMITS],
  },
  {
    name: 'an owner releases its engines on every way out',
    file: 'request/owner/src/completionRun.ts',
    find: 'if (!finished) this.#releaseEngines(label, plan)',
    replace: 'if (label === undefined) this.#releaseEngines(label, plan)',
    tests: [HOLDS],
  },
  {
    name: 'the scheduler sweeps what nobody vouches for',
    file: 'box/runtime/src/shardManager.ts',
    find: 'this.#tasks.run(() => this.#opts.sweeper.sweep(engine, report.holds))',
    replace: '',
    tests: [HOLDS],
  },
  {
    name: 'a key is run by the incarnation that it names alone',
    file: 'request/owner/src/owner.ts',
    find: 'if (!opts.takeOver || request.notRepeatable) this.#checkKey(request)',
    replace: 'if (opts.takeOver && request.notRepeatable) this.#checkKey(request)',
    tests: [ONCE_ONLY],
  },
  {
    name: 'a key older than its prefix is not run',
    file: 'request/owner/src/owner.ts',
    find: 'issuerClockMs - owner.issuedAtMs > prefixLifeMs',
    replace: 'issuerClockMs - owner.issuedAtMs > 1000 * prefixLifeMs',
    tests: [ONCE_ONLY],
  },
  {
    name: 'what may have run and may not be repeated is not sent again',
    file: 'request/owner/src/serviceRun.ts',
    find: 'if (this.#run.mayHaveRun && this.#request.notRepeatable) return false',
    replace: '',
    tests: [ONCE_ONLY],
  },
  {
    name: 'the verdict follows what was sent',
    file: 'request/owner/src/runContext.ts',
    find: 'this.#mayHaveRun = true',
    replace: 'this.#mayHaveRun = false',
    tests: [ONCE_ONLY],
  },
  {
    name: 'a place that is found for a run that has ended is given back',
    file: 'request/relay/src/completionPlacer.ts',
    find: "if (run.signal.aborted && 'plan' in outcome) outcome.release()",
    replace: '',
    tests: [LEFT_CALLER],
  },
  {
    name: 'a request that was withdrawn is offered to nobody else',
    file: 'scheduling/scheduler-placer/src/schedulerPlacer.ts',
    find: 'if (opts.signal.aborted) return WITHDRAWN',
    replace: '',
    tests: ['scheduling/scheduler-placer/test.lib/schedulerPlacer.js'],
  },
  {
    name: 'a client that ends its side of the connection has left',
    file: 'platform/adapter/src/httpCaller.ts',
    find: 'socket.once(\'end\', onDisconnect)',
    replace: '',
    tests: ['platform/adapter/test.lib/clientDisconnect.js'],
  },
  {
    name: 'a request that is not sent yet has not run',
    file: 'request/owner/src/runContext.ts',
    find: 'return await send(markSent)',
    replace: 'markSent(); return await send(markSent)',
    tests: [LEFT_CALLER],
  },
  {
    name: 'a box that slept does not say that nothing ran',
    file: 'request/owner/src/runContext.ts',
    find: ' || !this.#opts.isExclusive()',
    replace: '',
    tests: [ONCE_ONLY],
  },
  {
    name: 'deadline and standing are checked right before a send',
    file: 'request/owner/src/runContext.ts',
    find: 'if (this.remainingMs <= 0) this.#endAtDeadline()',
    replace: '',
    tests: [ONCE_ONLY],
  },
  {
    name: 'an answer must carry the label of its request',
    file: 'request/owner/src/completionRun.ts',
    find: 'if (!isSameHolder(event.label, label)) throw',
    replace: 'if (event.label === undefined) throw',
    tests: [WHOLE_ANSWERS],
  },
  {
    name: 'a token that came twice is dropped',
    file: 'request/owner/src/completionRun.ts',
    find: 'if (index < this.#generated.length) return',
    replace: '',
    tests: [WHOLE_ANSWERS],
  },
  {
    name: 'only a higher revision is adopted',
    file: 'config/store/src/configStore.ts',
    find: 'if (content.revision <= this.#revision) return',
    replace: 'if (content.revision === this.#revision) return',
    tests: [CONFIGURATION, STORE],
  },
  {
    name: 'a revision is adopted only if the whole of it is valid',
    file: 'config/store/src/configStore.ts',
    find: 'if (problems.length > 0) {',
    replace: 'if (problems.length > 1000) {',
    tests: [CONFIGURATION],
  },
  {
    name: 'boxes get revisions from their peers',
    file: 'config/store/src/configFollower.ts',
    find: 'if (!this.#isNewer(revision)) return',
    replace: 'if (this.#isNewer(revision)) return',
    tests: [CONFIGURATION],
  },
  {
    name: 'a leaving service is not chosen',
    file: 'config/fleet/src/fleetList.ts',
    find: 'return this.inPool(pool).filter(({ leaving }) => !leaving)',
    replace: 'return this.inPool(pool)',
    tests: [LEAVING],
  },
  {
    name: 'a leaving engine is not chosen',
    file: 'scheduling/ledger/src/shardLedger.ts',
    find: '!engine.leaving && !engine.retiring',
    replace: '!engine.retiring',
    tests: [LEAVING, SCHEDULER],
  },
  {
    name: 'a planned stop waits for what runs',
    file: 'box/runtime/src/plannedStop.ts',
    find: 'await waitForIdle(opts, settings.requests.longestRequestMs)',
    replace: '',
    tests: [LEAVING],
  },
  {
    name: 'a planned stop hands its records over',
    file: 'box/runtime/src/plannedStop.ts',
    find: 'const successor = await handOffRecords(opts)',
    replace: 'const successor = opts.settings.requests.longestRequestMs < 0 ? await handOffRecords(opts) : undefined',
    tests: [LEAVING],
  },
  {
    name: 'the right to order lapses',
    file: 'upstream/orders/src/orderLease.ts',
    find: 'return previousHasExpired && nowMs - lastContactMs() < durationMs',
    replace: 'return previousHasExpired || nowMs - lastContactMs() < durationMs',
    tests: ['upstream/orders/test.lib/orders.js', ORDERS],
  },
  {
    name: 'orders keep the declared engines in service',
    file: 'upstream/orders/src/planOrders.ts',
    find: 'Math.max(0, serving - pool.minReadyEngines)',
    replace: 'Math.max(0, serving)',
    tests: ['upstream/orders/test.lib/orders.js'],
  },
  {
    name: 'an engine whose report and list disagree on its role takes no work',
    file: 'scheduling/ledger/src/shardLedger.ts',
    find: 'report && report.role === engine.role &&',
    replace: 'report &&',
    tests: ['scheduling/scheduler/test.lib/ownPrefill.js'],
  },
  {
    name: 'an engine is told its role only while the right to order holds',
    file: 'upstream/orders/src/roleBalancer.ts',
    find: 'if (!lease.isValid()) {',
    replace: 'if (order.fence < 0) {',
    tests: [ROLES],
  },
  {
    name: 'an engine is empty before it is told another role',
    file: 'upstream/orders/src/roleBalancer.ts',
    find: '!move.ordered && reservations === 0 &&',
    replace: '!move.ordered &&',
    tests: [ROLES],
  },
  {
    name: 'no two holders give an order the same number',
    file: 'upstream/orders/src/fenceOf.ts',
    find: ' + hash32(holder) % HOLDERS',
    replace: '',
    tests: [ROLES],
  },
  {
    name: 'a decode engine computes a prompt itself only when that is sooner',
    file: 'scheduling/scheduler/src/placementChooser.ts',
    find: 'if (gaining < 0) return undefined',
    replace: '',
    tests: ['scheduling/scheduler/test.lib/ownPrefill.js'],
  },
  {
    name: 'earlier schedulers are told when a placement ends',
    file: 'scheduling/scheduler-placer/src/schedulerPlacer.ts',
    find: '        this.#releaseAtPreviousSchedulers(live)',
    replace: '',
    tests: ['scheduling/scheduler-placer/test.lib/schedulerPlacer.js'],
  },
  {
    name: 'a stream that breaks off is asked for once more at its engine only where it may be resumed',
    file: 'request/relay/src/completionRelay.ts',
    find: '(route.spec.resumable || !run.mayHaveRun) &&',
    replace: '',
    tests: ['request/relay/test.lib/relay.js'],
  },
  {
    name: 'a box that knows of no other looks for them at once',
    file: 'membership/prober/src/prober.ts',
    find: 'this.#tasks.run(() => this.#contactWhileIsolated())',
    replace: '',
    tests: ['membership/prober/test.lib/prober.js'],
  },
  {
    name: 'a box that was declared gone takes a new incarnation',
    file: 'box/runtime/src/box.ts',
    find: 'if (isSelf && member.health === MemberHealth.Gone && !this.#stopping) {',
    replace: 'if (isSelf && member.health === MemberHealth.Gone && this.#stopping) {',
    tests: [MEMBERSHIP],
  },
  {
    name: 'other boxes are asked before one is suspected',
    file: 'membership/prober/src/prober.ts',
    find: 'if (!wasPaused && !await this.#probeIndirectly(member))',
    replace: 'if (!wasPaused)',
    tests: [MEMBERSHIP],
  },
  {
    name: 'a connection between boxes on which nothing comes is looked at',
    file: 'net/peer-link/src/outgoingConnection.ts',
    find: 'if (await this.#isIdleFor(PING_AFTER_IDLE_MS)) await this.#probe()',
    replace: 'await this.#isIdleFor(PING_AFTER_IDLE_MS)',
    tests: ['net/peer-link/test.lib/unresponsiveConnections.js'],
  },
  {
    name: 'kept connections from before a silent one are not used',
    file: 'net/http-exchange/src/connectionPool.ts',
    find: 'if (unresponsive) this.closeIdleInactiveSince(sentAtMs, address)',
    replace: '',
    tests: ['net/http-exchange/test.lib/unresponsiveConnections.js'],
  },
  {
    name: 'a report that does not come on a kept connection is asked for on a new one',
    file: 'platform/adapter/src/platformEngineClient.ts',
    find: 'if (signal.aborted) throw thrown\n      return this.#read(address, signal, true)',
    replace: 'throw thrown',
    tests: ['platform/adapter/test.lib/unresponsiveConnections.js'],
  },
  {
    name: 'a box that takes no connections is not ready',
    file: 'platform/adapter/src/frontServers.ts',
    find: ' && acceptsConnections() ?',
    replace: ' ?',
    tests: ['platform/adapter/test.lib/frontServers.js'],
  },
  {
    name: 'what would be late is refused at once',
    file: 'scheduling/scheduler/src/decideAdmission.ts',
    find: 'if (minTtftMs > usefulLeftMs) return',
    replace: 'if (minTtftMs > usefulLeftMs + 60_000) return',
    tests: [SCHEDULER],
  },
  {
    name: 'a prefill starts only with a decode place',
    file: 'scheduling/scheduler/src/placementEstimator.ts',
    find: 'return free.slots >= 1 && free.kvBytes >= kvBytes',
    replace: 'return free.slots > -1000 && kvBytes > -1',
    tests: [SCHEDULER],
  },
  {
    name: 'a request that ends upstreams is kept from them',
    file: 'request/owner/src/runContext.ts',
    find: `if (refusal) this.end(refusal)
    if (this.remainingMs <= 0)`,
    replace: 'if (this.remainingMs <= 0)',
    tests: [CRASHING],
  },
  {
    name: 'ends of upstreams are told to other boxes at once',
    file: 'membership/prober/src/broadcaster.ts',
    find: 'await Promise.all(watchedAddresses().map(',
    replace: 'await Promise.all([].map(',
    tests: [CRASHING],
  },
  {
    name: 'boxes that know of different ends ask for them',
    file: 'membership/prober/src/gossip.ts',
    find: 'this.#tasks.run(() => this.#pull(address))',
    replace: '',
    tests: [CRASHING, LIMITED],
  },
  {
    name: 'upstreams that end together are one end',
    file: 'request/quarantine/src/judgeRequest.ts',
    find: 'run.beganAtMs >= (chain.at(-1)?.endedAtMs ?? Number.NEGATIVE_INFINITY) ?',
    replace: 'run.beganAtMs >= 0 ?',
    tests: [CRASHING, JUDGE],
  },
  {
    name: 'a box that stood still waits before it orders again',
    file: 'upstream/orders/src/orderLease.ts',
    find: 'Math.max(this.#acquiredAtMs, pauses.resumedAtMs(MIN_PAUSE_SHARE * durationMs))',
    replace: 'this.#acquiredAtMs',
    tests: ['upstream/orders/test.lib/orders.js'],
  },
  {
    name: 'time for which the machine was suspended counts',
    file: 'net/system-env/src/systemClock.ts',
    find: 'this.#suspendedMs += durationMs;',
    replace: 'this.#suspendedMs += 0;',
    tests: ['net/system-env/test.lib/systemClock.js'],
  },
  {
    name: 'a client over its share goes behind the others',
    file: 'scheduling/scheduler/src/placementChooser.ts',
    find: 'this.#shares.isOverShare(waiting.request.client, nowMs) ? 1 : 0',
    replace: '0',
    tests: [SCHEDULER],
  },
]
