import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { promptFor } from '@reelspan/utils.fakes'
import { percentile } from '@reelspan/request.owner'

/** Something that leaves engine memory held for a request that is gone. */
interface HoldScenario {
  name: string
  act: (fleet: FakeFleet, held: HeldRequest) => void
}

interface HeldRequest {
  owner: string
  key: string
  engine: string
  callerGone: AbortController
}

const RUNS = 20
const STEP_MS = 20
const LIMIT_MS = 60_000
const DEADLINE_MS = 20_000
const PAUSE_MS = 5000

const SCENARIOS: HoldScenario[] = [
  { name: 'cancel', act: (fleet, { owner, key }) => { void fleet.box(owner).box.cancel(key) } },
  { name: 'caller gone', act: (_fleet, { callerGone }) => callerGone.abort() },
  {
    name: 'owner killed and replaced',
    act: (fleet, { owner }) => {
      fleet.kill(owner)
      void fleet.startBox(owner)
    },
  },
  { name: 'owner killed, no replacement', act: (fleet, { owner }) => fleet.kill(owner) },
  { name: 'owner\'s machine vanishes', act: (fleet, { owner }) => fleet.cutOff(owner) },
  {
    name: 'caller gone while the owner sleeps for 5 s',
    act: (fleet, { owner, callerGone }) => {
      fleet.box(owner).clock.pause()
      callerGone.abort()
      void fleet.clock.sleep(PAUSE_MS).then(() => fleet.box(owner).clock.resume())
    },
  },
  {
    name: 'scheduler and owner killed, owner replaced',
    act: (fleet, { owner }) => {
      fleet.kill(fleet.schedulerBox().name)
      fleet.kill(owner)
      void fleet.startBox(owner)
    },
  },
  {
    name: 'cancel while owner and engine are cut off',
    act: (fleet, { owner, key, engine }) => {
      fleet.network.cutBoth(fleet.address(owner), fleet.address(engine))
      void fleet.box(owner).box.cancel(key)
    },
  },
]

/** Measures, on the virtual clock, how long engine memory stays held after its request is gone. */
export async function measureHolds (): Promise<void> {
  console.log(`${RUNS} runs each, deadline of each request ${DEADLINE_MS / 1000} s`)
  for (const scenario of SCENARIOS) {
    const times: number[] = []
    for (let seed = 1; seed <= RUNS; seed++) times.push(await heldFor(scenario, seed))
    console.log(`| ${scenario.name} | ${percentile(times, 50)} ms | ${percentile(times, 90)} ms | ${Math.max(...times)} ms |`)
  }
}

async function heldFor ({ act }: HoldScenario, seed: number): Promise<number> {
  const fleet = await new FakeFleet({ seed }).start()
  const scheduler = fleet.schedulerBox().name
  const others = fleet.liveBoxes().filter(({ name }) => name !== scheduler)
  const owner = others[seed % others.length].name
  const request = fleet.completion(owner, promptFor('held', { answerTokens: 5000 }), { maxTokens: 5000, deadlineMs: DEADLINE_MS })
  const callerGone = new AbortController()
  fleet.send(owner, request, callerGone.signal).catch(() => {})
  await fleet.clock.advance(700 + 37 * seed)
  act(fleet, { owner, key: request.key, engine: fleet.holds()[0].engine, callerGone })
  let heldMs = 0
  for (; fleet.holds().length > 0 && heldMs < LIMIT_MS; heldMs += STEP_MS) await fleet.clock.advance(STEP_MS)
  await fleet.stop()
  return heldMs
}
