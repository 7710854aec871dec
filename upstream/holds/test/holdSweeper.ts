import { type HoldLabel, MessageType, type PeerLink, PeerLinkError, type PeerMessage } from '@reelspan/core.messages'
import { type EngineClient, type EngineHold, HoldKind } from '@reelspan/upstream.client'
import { HoldSweeper, type HoldSweeperOptions } from '@reelspan/upstream.holds'
import { VirtualClock } from '@reelspan/utils.fakes'
import test from 'ava'

const OWNER = '0123456789abcdef'
const ENGINE = { name: 'decode-1', address: '10.1.0.1:80' }

function hold (requestId: string, over: Partial<HoldLabel> = {}): EngineHold {
  return { label: { ownerAddress: '10.0.0.1:7101', ownerIncarnation: OWNER, requestId, maxHoldMs: 5000, ...over }, kind: HoldKind.Decode, kvBytes: 1, tokensDone: 1 }
}

interface SweepOptions {
  /** Answer of the owner's address. */
  answer: () => Promise<PeerMessage>
  over?: Partial<HoldSweeperOptions>
}

function createSweeper ({ answer, over }: SweepOptions) {
  const clock = new VirtualClock()
  const released: string[] = []
  const sweeper = new HoldSweeper({
    clock,
    link: { call: answer } as unknown as PeerLink,
    engines: { release: async (_address: string, { requestId }: HoldLabel) => { released.push(requestId) } } as unknown as EngineClient,
    isGone: () => false,
    isReserved: () => false,
    confirmRunningHere: () => undefined,
    confirmTimeoutMs: 100,
    releaseTimeoutMs: 100,
    ...over,
  })
  return { clock, sweeper, released }
}

const unreachable = async () => { throw new PeerLinkError('cut', { mayHaveArrived: false }) }
const confirmed = (requestIds: string[], ownerIncarnation = OWNER) => async (): Promise<PeerMessage> => ({ type: MessageType.Vouched, ownerIncarnation, requestIds })

test('holds that the owner does not confirm are released', async (t) => {
  const { sweeper, released } = createSweeper({ answer: confirmed(['a']) })
  await sweeper.sweep(ENGINE, [hold('a'), hold('b')])
  t.deepEqual(released, ['b'])
})

test('holds of an owner that is gone are released without asking it', async (t) => {
  const { sweeper, released } = createSweeper({ answer: unreachable, over: { isGone: () => true } })
  await sweeper.sweep(ENGINE, [hold('a')])
  t.deepEqual(released, ['a'])
})

test('a hold of an unreachable owner is kept for the maximum hold time of its label, from when it was first seen', async (t) => {
  const { clock, sweeper, released } = createSweeper({ answer: unreachable })
  await sweeper.sweep(ENGINE, [hold('a')])
  await clock.advance(4999)
  await sweeper.sweep(ENGINE, [hold('a')])
  t.deepEqual(released, [])
  await clock.advance(1)
  await sweeper.sweep(ENGINE, [hold('a')])
  t.deepEqual(released, ['a'])
})

test('the answer of another process at the owner\'s address is ignored', async (t) => {
  const { sweeper, released } = createSweeper({ answer: confirmed([], 'fedcba9876543210') })
  await sweeper.sweep(ENGINE, [hold('a')])
  t.deepEqual(released, [])
})

test('holds of other clients of the engine are left alone', async (t) => {
  const { clock, sweeper, released } = createSweeper({ answer: confirmed([]) })
  const scripts = [hold('a', { ownerIncarnation: 'nightly-script', maxHoldMs: 1 })]
  await sweeper.sweep(ENGINE, scripts)
  await clock.advance(10_000)
  await sweeper.sweep(ENGINE, scripts)
  t.deepEqual(released, [])
})
