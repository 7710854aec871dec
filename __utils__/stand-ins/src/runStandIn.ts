import { type Server } from 'node:http'
import { EngineModel, type EngineModelOptions, PlatformModel, type PublishedEntry, ServiceModel } from '@reelspan/utils.fakes'
import { type Collection } from '@reelspan/core.messages'
import { SystemClock } from '@reelspan/net.system-env'
import { createEngineServer } from './createEngineServer.js'
import { createPlatformServer } from './createPlatformServer.js'
import { createServiceServer } from './createServiceServer.js'
import { fetchPrefillResultOverHttp } from './fetchPrefillResultOverHttp.js'
import { listenOn } from './listenOn.js'

export enum StandInKind {
  Platform = 'platform',
  Engine = 'engine',
  Service = 'service',
}

/** Messages that the parent process may send to a stand-in. */
export type StandInMessage =
  | { type: 'publish', collection: Collection, entries: PublishedEntry[] }
  | { type: 'platformFaults', faults: Partial<Pick<PlatformModel, 'outage' | 'staleMs' | 'fleetLagMs' | 'callsPerSecond'>> }
  | { type: 'engineFaults', faults: Partial<EngineModel['faults']> }

type EngineSettings = Omit<EngineModelOptions, 'clock' | 'exportFrom'>

/** Runs one stand-in in this process, and sends its address to the parent process. */
export async function runStandIn (kind: string, settings: object): Promise<void> {
  const clock = new SystemClock()
  const server = createServer(kind as StandInKind, clock, settings)
  process.send?.({ address: await listenOn(server) })
  process.once('disconnect', () => process.exit(0))
}

function createServer (kind: StandInKind, clock: SystemClock, settings: object): Server {
  switch (kind) {
    case StandInKind.Platform: {
      const platform = new PlatformModel(clock)
      onParentMessage((message) => {
        if (message.type === 'publish') platform.publish(message.collection, message.entries)
        if (message.type === 'platformFaults') Object.assign(platform, message.faults)
      })
      return createPlatformServer(platform)
    }
    case StandInKind.Engine: {
      const engine = new EngineModel({ ...settings as EngineSettings, clock, exportFrom: fetchPrefillResultOverHttp })
      onParentMessage((message) => {
        if (message.type === 'engineFaults') Object.assign(engine.faults, message.faults)
      })
      return createEngineServer(engine)
    }
    case StandInKind.Service:
      return createServiceServer(new ServiceModel({ clock, ...settings as { name: string } }))
  }
}

function onParentMessage (handle: (message: StandInMessage) => void): void {
  process.on('message', (message) => {
    handle(message as StandInMessage)
    process.send?.({ done: true })
  })
}
