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
  /** What the owner's address answers. */
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
    isAccounted: () => false,
    vouchHere: () => undefined,
    vouchTimeoutMs: 100,
    releaseTimeoutMs: 100,
    ...over,
  })
  return { clock, sweeper, released }
}

const unreachable = async () => { throw new PeerLinkError('cut', { mayHaveArrived: false }) }
const vouched = (requestIds: string[], ownerIncarnation = OWNER) => async (): Promise<PeerMessage> => ({ type: MessageType.Vouched, ownerIncarnation, requestIds })

test('what the owner does not vouch for is released', async (t) => {
  const { sweeper, released } = createSweeper({ answer: vouched(['a']) })
  await sweeper.sweep(ENGINE, [hold('a'), hold('b')])
  t.deepEqual(released, ['b'])
})

test('what a gone owner held is released without asking', async (t) => {
  const { sweeper, released } = createSweeper({ answer: unreachable, over: { isGone: () => true } })
  await sweeper.sweep(ENGINE, [hold('a')])
  t.deepEqual(released, ['a'])
})

test('what an unreachable owner holds is kept for the label\'s longest time, from when it was first seen', async (t) => {
  const { clock, sweeper, released } = createSweeper({ answer: unreachable })
  await sweeper.sweep(ENGINE, [hold('a')])
  await clock.advance(4999)
  await sweeper.sweep(ENGINE, [hold('a')])
  t.deepEqual(released, [])
  await clock.advance(1)
  await sweeper.sweep(ENGINE, [hold('a')])
  t.deepEqual(released, ['a'])
})

test('another process at the owner\'s address does not speak for it', async (t) => {
  const { sweeper, released } = createSweeper({ answer: vouched([], 'fedcba9876543210') })
  await sweeper.sweep(ENGINE, [hold('a')])
  t.deepEqual(released, [])
})

test('what something else beside reelspan holds is left alone', async (t) => {
  const { clock, sweeper, released } = createSweeper({ answer: vouched([]) })
  const scripts = [hold('a', { ownerIncarnation: 'nightly-script', maxHoldMs: 1 })]
  await sweeper.sweep(ENGINE, scripts)
  await clock.advance(10_000)
  await sweeper.sweep(ENGINE, scripts)
  t.deepEqual(released, [])
})
