import { type ReserveRequest } from '@reelspan/core.messages'
import { type EngineAccount } from '@reelspan/scheduling.ledger'

/** Whether a request may be decoded by an engine: one that it does not avoid, and of the software version that began its stream. */
export function mayDecode ({ name, softwareVersion }: Pick<EngineAccount<unknown>, 'name' | 'softwareVersion'>, request: ReserveRequest): boolean {
  return !request.avoid.includes(name) && (request.softwareVersion === undefined || request.softwareVersion === softwareVersion)
}
