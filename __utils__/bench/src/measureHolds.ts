import { FakeFleet } from '@reelspan/utils.fake-fleet'
import { promptFor } from '@reelspan/utils.fakes'
import { percentile } from '@reelspan/request.owner'

/** An event that ends a request while engine memory is held for it. */
interface HoldScenario {
  name: string
  trigger: (fleet: FakeFleet, held: HeldRequest) => void
}

interface HeldRequest {
  owner: string
  key: string
  engine: string
  callerAbort: AbortController
}

const RUNS_PER_SCENARIO = 20
const STEP_MS = 20
const MAX_MEASURED_HOLD_MS = 60_000
const DEADLINE_MS = 20_000
const PAUSE_MS = 5000

const SCENARIOS: HoldScenario[] = [
  { name: 'cancel', trigger: (fleet, { owner, key }) => { void fleet.box(owner).box.cancel(key) } },
  { name: 'caller disconnected', trigger: (_fleet, { callerAbort }) => callerAbort.abort() },
  {
    name: 'owner killed and replaced',
    trigger: (fleet, { owner }) => {
      fleet.kill(owner)
      void fleet.startBox(owner)
    },
  },
  { name: 'owner killed, no replacement', trigger: (fleet, { owner }) => fleet.kill(owner) },
  { name: 'owner is cut off from the network', trigger: (fleet, { owner }) => fleet.isolate(owner) },
  {
    name: 'caller disconnected while the owner is paused for 5 s',
    trigger: (fleet, { owner, callerAbort }) => {
      fleet.box(owner).clock.pause()
      callerAbort.abort()
      void fleet.clock.sleep(PAUSE_MS).then(() => fleet.box(owner).clock.resume())
    },
  },
  {
    name: 'scheduler and owner killed, owner replaced',
    trigger: (fleet, { owner }) => {
      fleet.kill(fleet.schedulerBox().name)
      fleet.kill(owner)
      void fleet.startBox(owner)
    },
  },
  {
    name: 'cancel during a partition between owner and engine',
    trigger: (fleet, { owner, key, engine }) => {
      fleet.network.blockBoth(fleet.address(owner), fleet.address(engine))
      void fleet.box(owner).box.cancel(key)
    },
  },
]

/** Measures on a virtual clock how long engine memory stays held after its request has ended. */
export async function measureHolds (): Promise<void> {
  console.log(`${RUNS_PER_SCENARIO} runs per scenario, request deadline ${DEADLINE_MS / 1000} s`)
  for (const scenario of SCENARIOS) {
    const holdTimesMs: number[] = []
    for (let seed = 1; seed <= RUNS_PER_SCENARIO; seed++) holdTimesMs.push(await measureHoldMs(scenario, seed))
    console.log(`| ${scenario.name} | ${percentile(holdTimesMs, 50)} ms | ${percentile(holdTimesMs, 90)} ms | ${Math.max(...holdTimesMs)} ms |`)
  }
}

async function measureHoldMs ({ trigger }: HoldScenario, seed: number): Promise<number> {
  const fleet = await new FakeFleet({ seed }).start()
  const scheduler = fleet.schedulerBox().name
  const otherBoxes = fleet.liveBoxes().filter(({ name }) => name !== scheduler)
  const owner = otherBoxes[seed % otherBoxes.length].name
  const request = fleet.completion(owner, promptFor('held', { answerTokens: 5000 }), { maxTokens: 5000, deadlineMs: DEADLINE_MS })
  const callerAbort = new AbortController()
  fleet.send(owner, request, callerAbort.signal).catch(() => {})
  await fleet.clock.advance(700 + 37 * seed)
  trigger(fleet, { owner, key: request.key, engine: fleet.holds()[0].engine, callerAbort })
  let heldMs = 0
  for (; fleet.holds().length > 0 && heldMs < MAX_MEASURED_HOLD_MS; heldMs += STEP_MS) await fleet.clock.advance(STEP_MS)
  await fleet.stop()
  return heldMs
}
