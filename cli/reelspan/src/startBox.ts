import { readFile } from 'node:fs/promises'
import { type Box, createBox } from '@reelspan/box.runtime'
import { type Settings } from '@reelspan/config.settings'
import { ErrorCode, ReelspanError } from '@reelspan/core.error'
import { createCallerServer, createOperatorServer } from '@reelspan/net.http-front'
import { WsPeerLink } from '@reelspan/net.peer-link'
import { HttpPlatformReader } from '@reelspan/net.platform-http'
import { closeServers, type ConnectionGuard, connectionLog, createMemoryLimits, listenAt, LoopDelay, oversizedAnswerLog, type OversizedAnswerListener, registerCallerMetrics, registerProcessMetrics, RequestsInProgress, SystemClock, SystemRandom } from '@reelspan/net.system-env'
import { HttpEngineClient, HttpServiceClient } from '@reelspan/net.upstream-http'
import { TcpUpstreamProbe } from '@reelspan/net.upstream-probe'
import { BunyanLog, LogEvent } from '@reelspan/telemetry.log'
import { Metrics } from '@reelspan/telemetry.metrics'

const PLATFORM_TIMEOUT_MS = 3000
const MAX_PEER_MESSAGE_BYTES = 16_000_000
const IDLE_CLOSE_MS = 30_000
const NOT_READY_POLL_MS = 50

/** A box that accepts requests. */
export interface RunningBox {
  box: Box
  /** Closes the listening servers; answers in progress are completed. */
  stopListening: () => Promise<void>
}

export interface StartBoxOptions {
  /** Called when the box listens for callers. */
  onListening?: (running: RunningBox) => void
}

/** Starts a box from its settings: it reads from the platform and its peers before it listens for callers. */
export async function startBox (settings: Settings, { onListening }: StartBoxOptions = {}): Promise<RunningBox> {
  const loopDelay = new LoopDelay()
  const { listen, limits, platform, log } = settings
  const boxLog = new BunyanLog({ box: settings.box.name, level: log.level })
  const started: { box?: Box } = {}
  const clock = new SystemClock({
    onLateTimer: (lateMs) => loopDelay.record(lateMs),
    confirmSuspension: async (durationMs) => started.box?.handleClockJump(durationMs) ?? true,
  })
  const token = await readToken(settings)
  const metrics = new Metrics()
  const logOversized = oversizedAnswerLog({ clock, log: boxLog, metrics })
  const onOversized: OversizedAnswerListener = ({ kind, address, maxBytes, readBytes }) => logOversized({ answer: kind, address, limit: maxBytes, readBytes })
  const logOf = connectionLog({ clock, log: boxLog, metrics })
  const link = new WsPeerLink({
    onClosed: logOf('peers').onClosed,
    clock,
    listenAddress: listen.peerAddress,
    maxMessageBytes: MAX_PEER_MESSAGE_BYTES,
    idleCloseMs: IDLE_CLOSE_MS,
    maxConnections: limits.peerConnections,
    onUnresponsiveConnection: (address, sinceMs) => boxLog.warn(LogEvent.ConnectionSilent, { peer: address, silentMs: Math.round(clock.nowMs() - sinceMs) }),
  })
  const box = createBox({
    settings,
    clock,
    random: new SystemRandom(),
    link,
    platform: new HttpPlatformReader({ clock, addresses: platform.addresses, timeoutMs: PLATFORM_TIMEOUT_MS, onOversized }),
    engines: new HttpEngineClient({ clock, onOversized }),
    services: new HttpServiceClient({ clock, onOversized }),
    probe: new TcpUpstreamProbe({ clock }),
    log: boxLog,
    metrics,
  })
  started.box = box
  registerProcessMetrics(metrics, link, loopDelay)
  await link.listen()
  await box.start()
  const operators = createOperatorServer({ clock, box, token, bodyBytes: limits.bodyBytes, listeners: logOf('operators') })
  await listenAt(operators, listen.operatorAddress)
  // The caller port opens only once the box has a configuration to route by.
  while (!box.ready) await clock.sleep(NOT_READY_POLL_MS)
  const memory = createMemoryLimits({ clock, log: boxLog, metrics, ...limits })
  const { onAcceptError, onClosed } = logOf('callers')
  const inProgress = new RequestsInProgress({ maxAhead: limits.requestsAhead, onClosed })
  const onGuarded = (guard: ConnectionGuard) => registerCallerMetrics(metrics, { inProgress, guard })
  const callers = createCallerServer({ clock, box, memory, ...limits, inProgress, onGuarded, onClosed, onAcceptError })
  await listenAt(callers, listen.callerAddress)
  const running = { box, stopListening: () => closeServers([callers, operators]) }
  onListening?.(running)
  return running
}

async function readToken ({ listen }: Settings): Promise<string | undefined> {
  const { operatorTokenFile, operatorTokenVariable } = listen
  if (operatorTokenFile !== undefined) return (await readFile(operatorTokenFile, 'utf8')).trim()
  if (operatorTokenVariable === undefined) return undefined
  const token = process.env[operatorTokenVariable]
  if (!token) throw new ReelspanError(ErrorCode.BadSettings, `listen.operatorTokenVariable: the environment variable ${operatorTokenVariable} is not set`)
  return token
}
