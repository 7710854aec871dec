/** A mechanism, the source change that disables it, and the tests that must then fail. */
export interface Mechanism {
  name: string
  file: string
  find: string
  replace: string
  /** Compiled test files. */
  tests: string[]
}

const HOLDS = 'box/runtime/test.lib/holds.js'
const AT_MOST_ONCE = 'box/runtime/test.lib/notRepeatableRequests.js'
const CALLER_DISCONNECTS = 'request/relay/test.lib/callerDisconnects.js'
const ANSWER_INTEGRITY = 'box/runtime/test.lib/answerIntegrity.js'
const CONFIGURATION = 'box/runtime/test.lib/configuration.js'
const PLANNED_STOP = 'box/runtime/test.lib/plannedStopAndDraining.js'
const ORDERS = 'box/runtime/test.lib/orders.js'
const MEMBERSHIP = 'box/runtime/test.lib/membership.js'
const SCHEDULER = 'scheduling/scheduler/test.lib/shardScheduler.js'
const ROLES = 'upstream/orders/test.lib/roleBalancer.js'
const CONFIG_STORE = 'config/store/test.lib/configStore.js'
const CRASHING_REQUEST = 'box/runtime/test.lib/crashingRequest.js'
const QUARANTINE_DECISION = 'request/quarantine/test.lib/judgeRequest.js'
const ACCOUNTS = 'box/runtime/test.lib/accounts.js'
const SHARED_UPSTREAM_LIMIT = 'box/runtime/test.lib/upstreamLimitShared.js'
const DRAINING_UPSTREAM = 'box/runtime/test.lib/drainingUpstream.js'
const RESTORED_PLATFORM = 'box/runtime/test.lib/restoredPlatform.js'
const RESTORED_STORE = 'platform/adapter/test.lib/restoredStoreReader.js'
const ACCOUNT_SHARES = 'scheduling/scheduler/test.lib/accountShares.js'
const CUT_FROM_UPSTREAMS = 'box/runtime/test.lib/cutFromUpstreams.js'
const DELEGATION = 'request/delegation/test.lib/delegation.js'
const UPSTREAM_PATHS = 'upstream/paths/test.lib/upstreamPaths.js'
const ANSWER_END = 'request/relay/test.lib/answerEnd.js'
const ENGINE_LIMITS = 'scheduling/scheduler/test.lib/engineLimits.js'

/** Mechanisms that the documented guarantees depend on. */
export const MECHANISMS: Mechanism[] = [
  {
    name: 'answer end: a stream that ends inside an event is not whole',
    file: 'request/relay/src/answerEnd.ts',
    find: 'if (!this.#scanner?.insideEvent) return',
    replace: 'if (!this.#scanner?.insideEvent || true) return',
    tests: [ANSWER_END, 'platform/adapter/test.lib/brokenOffStreams.js'],
  },
  {
    name: 'answer end: lines may end with CR',
    file: 'request/relay/src/eventScanner.ts',
    find: 'if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {',
    replace: 'if (byte !== LINE_FEED) {',
    tests: [ANSWER_END],
  },
  {
    name: 'lost paths: requests are run by boxes that have paths',
    file: 'box/runtime/src/createDelegationParts.ts',
    find: 'isNeeded: () => upstreamPaths.lost && (upstreamPaths.silent || delegates().length > 0)',
    replace: 'isNeeded: () => false',
    tests: [CUT_FROM_UPSTREAMS],
  },
  {
    name: 'lost paths: schedulers are chosen among boxes that have paths',
    file: 'membership/view/src/membershipView.ts',
    find: 'reaching.length > 0 ? reaching : this.takingWork()',
    replace: 'this.takingWork()',
    tests: [CUT_FROM_UPSTREAMS],
  },
  {
    name: 'lost paths: an engine that an owner could not reach is avoided only until it reports',
    file: 'scheduling/scheduler/src/engineOutcomes.ts',
    find: 'outcome !== UpstreamOutcome.Unreachable || !onUnreachable',
    replace: 'outcome !== undefined',
    tests: [CUT_FROM_UPSTREAMS],
  },
  {
    name: 'lost paths: a scheduler without reports rejects requests',
    file: 'box/runtime/src/peerDispatch.ts',
    find: 'if (this.#opts.hasLostPaths() && !scheduler.hasReports) throw cannotPlace()',
    replace: '',
    tests: [CUT_FROM_UPSTREAMS],
  },
  {
    name: 'lost paths: a delegated request that may have run is not run elsewhere',
    file: 'request/delegation/src/delegator.ts',
    find: 'error.verdict === Verdict.NotRun && ',
    replace: '',
    tests: [DELEGATION],
  },
  {
    name: 'lost paths: a delegate keeps at most a window of an answer',
    file: 'request/delegation/src/delegatedCaller.ts',
    find: 'while (this.#unreadBytes >= WINDOW_BYTES && !this.signal.aborted) await this.#readNotifier.wait(this.signal)',
    replace: '',
    tests: [DELEGATION],
  },
  {
    name: 'lost paths: no loss is detected while all upstreams are on a single machine',
    file: 'upstream/paths/src/upstreamPaths.ts',
    find: 'if (addresses.length < MIN_PROBED) return',
    replace: 'if (addresses.length < 0) return',
    tests: [UPSTREAM_PATHS],
  },
  {
    name: 'declarations from a restored store are ordered by the operator\'s version',
    file: 'platform/adapter/src/configurationMirror.ts',
    find: 'if (configuration.version <= this.#version) return false',
    replace: '',
    tests: [RESTORED_STORE],
  },
  {
    name: 'lists from a restored store are ordered by era before revision',
    file: 'config/store/src/storeRevision.ts',
    find: 'const REVISIONS_PER_ERA = 2 ** 40',
    replace: 'const REVISIONS_PER_ERA = 1',
    tests: [RESTORED_STORE],
  },
  {
    name: 'a restored store is read completely before it is watched',
    file: 'platform/adapter/src/storeMirror.ts',
    find: 'if (!read || read.readAt.era > this.#cursor.era) return',
    replace: 'if (!read) return',
    tests: [RESTORED_STORE],
  },
  {
    name: 'responses from before a store was restored are discarded',
    file: 'platform/adapter/src/storeClient.ts',
    find: 'if (era < this.#era.current) throw',
    replace: 'if (era < 0) throw',
    tests: [RESTORED_STORE],
  },
  {
    name: 'upstreams that had left get no requests when a restored store lists them again',
    file: 'config/fleet/src/reconciledFleet.ts',
    find: ' || this.#departures.has(name))',
    replace: ')',
    tests: [RESTORED_PLATFORM],
  },
  {
    name: 'boxes that start after a store was restored learn which upstreams were draining',
    file: 'box/runtime/src/reconciler.ts',
    find: 'upstreamStates.observe(name, REMEMBERED_DRAINING, clock.nowMs())',
    replace: 'upstreamStates.isDraining(name)',
    tests: ['platform/adapter/test.lib/restoredStore.js'],
  },
  {
    name: 'upstreams missing from a restored store\'s list are kept until they have had time to register again',
    file: 'config/fleet/src/reconciledFleet.ts',
    find: 'mayHaveExpired() || this.#departures.sinceRestoredMs < REREGISTRATION_MS',
    replace: 'mayHaveExpired()',
    tests: ['config/fleet/test.lib/restoredList.js'],
  },
  {
    name: 'a restored store does not prove the configuration current until the rewrite window has passed',
    file: 'config/store/src/configFollower.ts',
    find: 'shownRevision >= revision && sinceRestoredMs >= REWRITE_WINDOW_MS',
    replace: 'sinceRestoredMs >= 0',
    tests: ['config/store/test.lib/restoredPlatform.js'],
  },
  {
    name: 'requests with an API key are accepted only while the freshness proof is within its maximum age',
    file: 'accounts/proof/src/freshnessProof.ts',
    find: 'return maxAgeMs === undefined || this.ageMs < maxAgeMs',
    replace: 'return maxAgeMs === undefined || this.ageMs < 100 * maxAgeMs',
    tests: [ACCOUNTS],
  },
  {
    name: 'the age of a peer\'s freshness proof counts from when the peer was asked',
    file: 'accounts/proof/src/freshnessProof.ts',
    find: 'this.recordRead(revision, askedAtMs - ageMs)',
    replace: 'this.recordRead(revision, askedAtMs)',
    tests: ['accounts/proof/test.lib/freshnessProof.js'],
  },
  {
    name: 'a suspension of the process invalidates the freshness proof',
    file: 'box/runtime/src/box.ts',
    find: `    freshnessProof.invalidate()
`,
    replace: '',
    tests: [ACCOUNTS],
  },
  {
    name: 'API keys are not forwarded to upstreams',
    file: 'platform/adapter/src/upstreamHeaders.ts',
    find: '...keysBelongToAccounts ? CREDENTIAL_HEADERS : []',
    replace: '',
    tests: ['platform/adapter/test.lib/accounts.js'],
  },
  {
    name: 'boxes avoid upstreams that other boxes agree are failing',
    file: 'upstream/health/src/upstreamFailureReports.ts',
    find: '(this.#avoidUntilMs.get(upstream) ?? 0) > this.#clock.nowMs()',
    replace: 'this.#avoidUntilMs.get(upstream) === -1',
    tests: ['box/runtime/test.lib/upstreamReports.js'],
  },
  {
    name: 'an account\'s limit is enforced for all boxes by its coordinator',
    file: 'membership/limits/src/standInLimiter.ts',
    find: 'const waitMs = messages.waitMsIn(answer)',
    replace: 'const waitMs = messages.waitMsIn(answer) && 0',
    tests: [ACCOUNTS],
  },
  {
    name: 'boxes that start on two sides of a partition grant one limit together',
    file: 'membership/limits/src/expectedBoxes.ts',
    find: 'Math.min(share, (listed - unseen) / listed)',
    replace: 'share',
    tests: ['membership/limits/test.lib/expectedBoxes.js'],
  },
  {
    name: 'an upstream\'s permits are granted for all boxes by its coordinator',
    file: 'box/runtime/src/createLimitParts.ts',
    find: 'waitMs: permitBuckets.acquire(upstream, cost)',
    replace: 'waitMs: 0 * permitBuckets.acquire(upstream, cost)',
    tests: [SHARED_UPSTREAM_LIMIT],
  },
  {
    name: 'an upstream limit that one box learns of is forwarded to other boxes',
    file: 'upstream/signals/src/upstreamStates.ts',
    find: 'if (changed && update && this.mayForward(update)) this.#opts.onChanged?.(update)',
    replace: '',
    tests: [SHARED_UPSTREAM_LIMIT],
  },
  {
    name: 'an upstream that advertises draining is marked as leaving in the reconciled list',
    file: 'config/fleet/src/reconciledFleet.ts',
    find: 'this.#opts.draining?.has(name) === true',
    replace: 'this.#opts.draining?.has(name) === undefined',
    tests: [DRAINING_UPSTREAM],
  },
  {
    name: 'a draining upstream is announced to other boxes',
    file: 'upstream/signals/src/upstreamStates.ts',
    find: 'draining: draining || this.isDraining(upstream) })',
    replace: 'draining: this.isDraining(upstream) })',
    tests: [DRAINING_UPSTREAM],
  },
  {
    name: 'a box backs off from an upstream that requested it',
    file: 'upstream/signals/src/backoffs.ts',
    find: 'Math.max(0, (this.#untilMs.get(upstream) ?? 0) - this.#opts.clock.nowMs())',
    replace: 'Math.min(0, this.#untilMs.get(upstream) ?? 0)',
    tests: ['box/runtime/test.lib/retryAfter.js'],
  },
  {
    name: 'an engine that requested a backoff during prefill gets no decode',
    file: 'request/relay/src/completionRelay.ts',
    find: 'if (opts.fleet().takesWork(engine) && backoffMs === 0) return',
    replace: 'if (opts.fleet().takesWork(engine)) return',
    tests: ['request/relay/test.lib/upstreamSignals.js'],
  },
  {
    name: 'a scheduler respects the rate limits of engines',
    file: 'scheduling/scheduler/src/placementRecorder.ts',
    find: 'limits.recordPlacement([prefill.name, decode.name])',
    replace: '',
    tests: [ENGINE_LIMITS],
  },
  {
    name: 'an owner releases its engines however a run ends',
    file: 'request/owner/src/completionRun.ts',
    find: 'if (!finished) this.#releaseEngines(label, plan)',
    replace: 'if (label === undefined) this.#releaseEngines(label, plan)',
    tests: [HOLDS],
  },
  {
    name: 'the scheduler sweeps reservations that no owner confirms',
    file: 'box/runtime/src/shardManager.ts',
    find: 'this.#tasks.run(() => this.#opts.sweeper.sweep(engine, report.holds))',
    replace: '',
    tests: [HOLDS],
  },
  {
    name: 'a request key is run only by the incarnation that it names',
    file: 'request/owner/src/owner.ts',
    find: 'if (!opts.takeOver || request.notRepeatable) this.#checkKey(request)',
    replace: 'if (opts.takeOver && request.notRepeatable) this.#checkKey(request)',
    tests: [AT_MOST_ONCE],
  },
  {
    name: 'a request key older than its prefix lifetime is not run',
    file: 'request/owner/src/owner.ts',
    find: 'issuerClockMs - owner.issuedAtMs > prefixLifeMs',
    replace: 'issuerClockMs - owner.issuedAtMs > 1000 * prefixLifeMs',
    tests: [AT_MOST_ONCE],
  },
  {
    name: 'a non-repeatable request that may have run is not sent again',
    file: 'request/owner/src/serviceRun.ts',
    find: 'if (this.#run.mayHaveRun && this.#request.notRepeatable) return false',
    replace: '',
    tests: [AT_MOST_ONCE],
  },
  {
    name: 'the verdict on a failed run reflects whether the request was sent',
    file: 'request/owner/src/runContext.ts',
    find: 'this.#mayHaveRun = true',
    replace: 'this.#mayHaveRun = false',
    tests: [AT_MOST_ONCE],
  },
  {
    name: 'a placement found for a run that has ended is released',
    file: 'request/relay/src/completionPlacer.ts',
    find: "if (run.signal.aborted && 'plan' in outcome) outcome.release()",
    replace: '',
    tests: [CALLER_DISCONNECTS],
  },
  {
    name: 'a cancelled request is not offered to another scheduler',
    file: 'scheduling/scheduler-placer/src/schedulerPlacer.ts',
    find: 'if (opts.signal.aborted) return WITHDRAWN',
    replace: '',
    tests: ['scheduling/scheduler-placer/test.lib/schedulerPlacer.js'],
  },
  {
    name: 'a client that closes its side of the connection counts as disconnected',
    file: 'platform/adapter/src/httpCaller.ts',
    find: 'socket.once(\'end\', onDisconnect)',
    replace: '',
    tests: ['platform/adapter/test.lib/clientDisconnect.js'],
  },
  {
    name: 'a request that has not been sent is not marked as run',
    file: 'request/owner/src/runContext.ts',
    find: 'return await send(markSent)',
    replace: 'markSent(); return await send(markSent)',
    tests: [CALLER_DISCONNECTS],
  },
  {
    name: 'a box that was suspended does not report that a request has not run',
    file: 'request/owner/src/runContext.ts',
    find: ' || !this.#opts.isExclusive()',
    replace: '',
    tests: [AT_MOST_ONCE],
  },
  {
    name: 'the deadline is checked immediately before a send',
    file: 'request/owner/src/runContext.ts',
    find: 'if (this.remainingMs <= 0) this.#endAtDeadline()',
    replace: '',
    tests: [AT_MOST_ONCE],
  },
  {
    name: 'a response must carry the label of its request',
    file: 'request/owner/src/completionRun.ts',
    find: 'if (!isSameHolder(event.label, label)) throw',
    replace: 'if (event.label === undefined) throw',
    tests: [ANSWER_INTEGRITY],
  },
  {
    name: 'a duplicate token is dropped',
    file: 'request/owner/src/completionRun.ts',
    find: 'if (index < this.#generated.length) return',
    replace: '',
    tests: [ANSWER_INTEGRITY],
  },
  {
    name: 'only a higher revision is adopted',
    file: 'config/store/src/configStore.ts',
    find: 'if (content.revision <= this.#revision) return',
    replace: 'if (content.revision === this.#revision) return',
    tests: [CONFIGURATION, CONFIG_STORE],
  },
  {
    name: 'a revision is adopted only if all of it is valid',
    file: 'config/store/src/configStore.ts',
    find: 'if (problems.length > 0) {',
    replace: 'if (problems.length > 1000) {',
    tests: [CONFIGURATION],
  },
  {
    name: 'boxes fetch newer revisions from their peers',
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
    tests: [PLANNED_STOP],
  },
  {
    name: 'a leaving engine is not chosen',
    file: 'scheduling/ledger/src/shardLedger.ts',
    find: '!engine.leaving && !engine.retiring',
    replace: '!engine.retiring',
    tests: [PLANNED_STOP, SCHEDULER],
  },
  {
    name: 'a planned stop waits for requests in flight',
    file: 'box/runtime/src/plannedStop.ts',
    find: 'await waitForIdle(opts, settings.requests.longestRequestMs)',
    replace: '',
    tests: [PLANNED_STOP],
  },
  {
    name: 'a planned stop hands its records to a successor',
    file: 'box/runtime/src/plannedStop.ts',
    find: 'const successor = await handOffRecords(opts)',
    replace: 'const successor = opts.settings.requests.longestRequestMs < 0 ? await handOffRecords(opts) : undefined',
    tests: [PLANNED_STOP],
  },
  {
    name: 'the lease to give orders expires',
    file: 'upstream/orders/src/orderLease.ts',
    find: 'return previousHasExpired && nowMs - lastContactMs() < durationMs',
    replace: 'return previousHasExpired || nowMs - lastContactMs() < durationMs',
    tests: ['upstream/orders/test.lib/orders.js', ORDERS],
  },
  {
    name: 'orders keep the declared minimum of engines ready',
    file: 'upstream/orders/src/planOrders.ts',
    find: 'Math.max(0, serving - pool.minReadyEngines)',
    replace: 'Math.max(0, serving)',
    tests: ['upstream/orders/test.lib/orders.js'],
  },
  {
    name: 'an engine whose role differs between its report and the list gets no requests',
    file: 'scheduling/ledger/src/shardLedger.ts',
    find: 'report && report.role === engine.role &&',
    replace: 'report &&',
    tests: ['scheduling/scheduler/test.lib/ownPrefill.js'],
  },
  {
    name: 'an engine is ordered to change its role only while the lease is valid',
    file: 'upstream/orders/src/roleBalancer.ts',
    find: 'if (!lease.isValid()) {',
    replace: 'if (order.fence < 0) {',
    tests: [ROLES],
  },
  {
    name: 'an engine has no reservations before it is ordered to change its role',
    file: 'upstream/orders/src/roleBalancer.ts',
    find: '!move.ordered && reservations === 0 &&',
    replace: '!move.ordered &&',
    tests: [ROLES],
  },
  {
    name: 'no two lease holders use the same fencing token',
    file: 'upstream/orders/src/fenceOf.ts',
    find: ' + hash32(holder) % HOLDERS',
    replace: '',
    tests: [ROLES],
  },
  {
    name: 'a decode engine runs the prefill itself only when that is faster',
    file: 'scheduling/scheduler/src/placementChooser.ts',
    find: 'if (gaining < 0) return undefined',
    replace: '',
    tests: ['scheduling/scheduler/test.lib/ownPrefill.js'],
  },
  {
    name: 'previous schedulers are notified when a placement ends',
    file: 'scheduling/scheduler-placer/src/schedulerPlacer.ts',
    find: '        this.#releaseAtPreviousSchedulers(live)',
    replace: '',
    tests: ['scheduling/scheduler-placer/test.lib/schedulerPlacer.js'],
  },
  {
    name: 'an interrupted stream is requested again at its engine only if it may be resumed',
    file: 'request/relay/src/completionRelay.ts',
    find: '(route.spec.resumable || !run.mayHaveRun) &&',
    replace: '',
    tests: ['request/relay/test.lib/relay.js'],
  },
  {
    name: 'a box that knows no other box contacts peers immediately',
    file: 'membership/prober/src/prober.ts',
    find: 'this.#tasks.run(() => this.#contactWhileIsolated())',
    replace: '',
    tests: ['membership/prober/test.lib/prober.js'],
  },
  {
    name: 'a box that was declared gone rejoins with a new incarnation',
    file: 'box/runtime/src/box.ts',
    find: 'if (isSelf && member.health === MemberHealth.Gone && !this.#stopping) {',
    replace: 'if (isSelf && member.health === MemberHealth.Gone && this.#stopping) {',
    tests: [MEMBERSHIP],
  },
  {
    name: 'a box is probed through other boxes before it is suspected',
    file: 'membership/prober/src/prober.ts',
    find: 'if (!wasPaused && !await this.#probeIndirectly(member))',
    replace: 'if (!wasPaused)',
    tests: [MEMBERSHIP],
  },
  {
    name: 'an idle connection between boxes is checked with a ping',
    file: 'net/peer-link/src/outgoingConnection.ts',
    find: 'if (await this.#isIdleFor(PING_AFTER_IDLE_MS)) await this.#probe()',
    replace: 'await this.#isIdleFor(PING_AFTER_IDLE_MS)',
    tests: ['net/peer-link/test.lib/unresponsiveConnections.js'],
  },
  {
    name: 'idle connections without activity since an unresponsive exchange was sent are closed',
    file: 'net/http-exchange/src/connectionPool.ts',
    find: 'if (unresponsive) this.closeIdleInactiveSince(sentAtMs, address)',
    replace: '',
    tests: ['net/http-exchange/test.lib/unresponsiveConnections.js'],
  },
  {
    name: 'a report that does not arrive on a reused connection is requested on a new one',
    file: 'platform/adapter/src/platformEngineClient.ts',
    find: 'if (signal.aborted) throw thrown\n      return this.#read(address, signal, true)',
    replace: 'throw thrown',
    tests: ['platform/adapter/test.lib/unresponsiveConnections.js'],
  },
  {
    name: 'a box that accepts no connections is not ready',
    file: 'platform/adapter/src/frontServers.ts',
    find: ' && acceptsConnections() ?',
    replace: ' ?',
    tests: ['platform/adapter/test.lib/frontServers.js'],
  },
  {
    name: 'a request that cannot be answered in time is refused immediately',
    file: 'scheduling/scheduler/src/decideAdmission.ts',
    find: 'if (minTtftMs > usefulLeftMs) return',
    replace: 'if (minTtftMs > usefulLeftMs + 60_000) return',
    tests: [SCHEDULER],
  },
  {
    name: 'a prefill starts only if a decode engine has a free slot and enough KV memory',
    file: 'scheduling/scheduler/src/placementEstimator.ts',
    find: 'return free.slots >= 1 && free.kvBytes >= kvBytes',
    replace: 'return free.slots > -1000 && kvBytes > -1',
    tests: [SCHEDULER],
  },
  {
    name: 'a request that crashes upstreams is quarantined',
    file: 'request/owner/src/runContext.ts',
    find: `if (refusal) this.end(refusal)
    if (this.remainingMs <= 0)`,
    replace: 'if (this.remainingMs <= 0)',
    tests: [CRASHING_REQUEST],
  },
  {
    name: 'crashes of upstreams are broadcast to other boxes immediately',
    file: 'membership/prober/src/broadcaster.ts',
    find: 'await Promise.all(watchedAddresses().map(',
    replace: 'await Promise.all([].map(',
    tests: [CRASHING_REQUEST],
  },
  {
    name: 'boxes whose update digests differ pull the missing updates',
    file: 'membership/prober/src/gossip.ts',
    find: 'this.#tasks.run(() => this.#pull(address))',
    replace: '',
    tests: [CRASHING_REQUEST, SHARED_UPSTREAM_LIMIT],
  },
  {
    name: 'upstream crashes that end overlapping runs of a request count once',
    file: 'request/quarantine/src/judgeRequest.ts',
    find: 'run.beganAtMs >= (chain.at(-1)?.endedAtMs ?? Number.NEGATIVE_INFINITY) ?',
    replace: 'run.beganAtMs >= 0 ?',
    tests: [CRASHING_REQUEST, QUARANTINE_DECISION],
  },
  {
    name: 'a box that was paused waits before it gives orders again',
    file: 'upstream/orders/src/orderLease.ts',
    find: 'Math.max(this.#acquiredAtMs, pauses.resumedAtMs(MIN_PAUSE_SHARE * durationMs))',
    replace: 'this.#acquiredAtMs',
    tests: ['upstream/orders/test.lib/orders.js'],
  },
  {
    name: 'the clock includes time during which the machine was suspended',
    file: 'net/system-env/src/systemClock.ts',
    find: 'this.#suspendedMs += durationMs;',
    replace: 'this.#suspendedMs += 0;',
    tests: ['net/system-env/test.lib/systemClock.js'],
  },
  {
    name: 'a client over its share is placed after the others',
    file: 'scheduling/scheduler/src/placementChooser.ts',
    find: 'this.#shares.rankOf(waiting),',
    replace: '0,',
    tests: [ACCOUNT_SHARES],
  },
  {
    name: 'requests over their share leave room to those within theirs',
    file: 'scheduling/scheduler/src/placementChooser.ts',
    find: 'if (!this.#shares.isOverShare(waiting)) return undefined',
    replace: 'if (this.#shares.isOverShare(waiting) !== undefined) return undefined',
    tests: [ACCOUNT_SHARES],
  },
  {
    name: 'a request over its share is admitted only as its share allows',
    file: 'scheduling/scheduler/src/decideQueue.ts',
    find: 'Math.ceil(slotsUntilShare(waiting))',
    replace: '0',
    tests: ['scheduling/scheduler/test.lib/decideQueue.js', ACCOUNT_SHARES],
  },
  {
    name: 'a new scheduler charges the reservations that it adopts',
    file: 'scheduling/scheduler/src/shardScheduler.ts',
    find: 'this.#shares.recordReservation(request, entry, { ageMs }, nowMs)',
    replace: '',
    tests: [ACCOUNT_SHARES],
  },
  {
    name: 'less urgent requests do not lower the share of a more urgent account',
    file: 'scheduling/scheduler/src/queueShares.ts',
    find: '.filter(([other]) => other <= priority)',
    replace: '',
    tests: [ACCOUNT_SHARES],
  },
  {
    name: 'a relayed request is placed under its account',
    file: 'request/relay/src/completionPlacer.ts',
    find: "client: request.account ?? ''",
    replace: "client: ''",
    tests: ['request/relay/test.lib/accounts.js', 'box/runtime/test.lib/accountShares.js'],
  },
]
