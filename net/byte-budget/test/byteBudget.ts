import { ByteBudget, READ_BYTES } from '@reelspan/net.byte-budget'
import fc from 'fast-check'
import test from 'ava'

const TOTAL_BYTES = 1000 * READ_BYTES

function createSource () {
  const source = { paused: false, pause: () => { source.paused = true }, resume: () => { source.paused = false } }
  return source
}

/** Charges reads to accounts in turn until all are paused. */
function fill (budget: ByteBudget, clientAccounts: readonly (string | undefined)[]) {
  const answers = clientAccounts.map((clientAccount) => {
    const [account, source] = [budget.open(), createSource()]
    if (clientAccount !== undefined) account.assignTo(clientAccount)
    account.attach(source)
    return { account, source }
  })
  while (answers.some(({ source }) => !source.paused)) answers.filter(({ source }) => !source.paused).forEach(({ account }) => account.charge(READ_BYTES))
  return answers
}

for (const count of [1, 2, 6, 30]) {
  test(`${count} answers that nobody reads are paused at one part in ${count + 1} of the budget each, and a few leave much for a new one`, (t) => {
    const budget = new ByteBudget({ totalBytes: TOTAL_BYTES })
    fill(budget, Array.from({ length: count }, () => undefined)).forEach(({ account }) => t.true(Math.abs(account.usedBytes - TOTAL_BYTES / (count + 1)) <= 3 * READ_BYTES))
    t.is(budget.pausedCount, count)
    t.true(budget.usedBytes <= TOTAL_BYTES + count * READ_BYTES)
    if (count <= 6) t.true(budget.allowanceOf(budget.open()) > TOTAL_BYTES / 10)
  })
}

test('the many unread answers of one client account leave a third of the budget to others', (t) => {
  const budget = new ByteBudget({ totalBytes: TOTAL_BYTES })
  fill(budget, Array.from({ length: 10 }, () => 'bank'))
  t.true(budget.allowanceOf(budget.open()) >= TOTAL_BYTES / 3 - 20 * READ_BYTES)
})

test('when one answer is closed, another that was paused is resumed', (t) => {
  const budget = new ByteBudget({ totalBytes: TOTAL_BYTES })
  const [first, second] = fill(budget, [undefined, undefined])
  first.account.close()
  t.false(second.source.paused)
  first.account.charge(READ_BYTES)
  first.account.hold(READ_BYTES)
  t.is(budget.usedBytes, second.account.usedBytes)
})

test('the budget is reported as short and as available again, once each', (t) => {
  const changes: boolean[] = []
  const budget = new ByteBudget({ totalBytes: TOTAL_BYTES, onShortChanged: (short) => changes.push(short) })
  const answers = fill(budget, Array.from({ length: 6 }, () => undefined))
  t.deepEqual(changes, [true])
  answers.forEach(({ account }) => account.close())
  t.deepEqual(changes, [true, false])
  t.is(budget.usedBytes, 0)
})

test('an incomplete event counts but does not pause its own source, which alone can complete it', (t) => {
  const budget = new ByteBudget({ totalBytes: TOTAL_BYTES })
  const [account, source] = [budget.open(), createSource()]
  account.attach(source)
  account.hold(2 * TOTAL_BYTES)
  t.false(source.paused)
  t.is(budget.usedBytes, 2 * TOTAL_BYTES)
})

test('incomplete events together leave room, and one read of each may always be kept', (t) => {
  const budget = new ByteBudget({ totalBytes: TOTAL_BYTES })
  const accounts = Array.from({ length: 400 }, () => budget.open())
  accounts.forEach((account) => {
    for (let bytes = READ_BYTES; account.hold(bytes) && bytes < TOTAL_BYTES; bytes *= 2);
    account.hold(account.heldBytes / 2)
  })
  t.true(budget.usedBytes < TOTAL_BYTES + accounts.length * READ_BYTES)
  t.true(budget.open().hold(READ_BYTES))
  t.false(budget.open().hold(2 * READ_BYTES))
})

test('in any order of reads and writes, the bytes add up, the budget is exceeded by two reads per answer at most, and an answer whose caller has taken everything is not paused', (t) => {
  const step = fc.record({ answer: fc.nat(7), action: fc.constantFrom('read', 'pass', 'take', 'assign', 'reopen'), bytes: fc.integer({ min: 1, max: READ_BYTES }) })
  fc.assert(fc.property(fc.array(step, { maxLength: 400 }), (steps) => {
    const totalBytes = 20 * READ_BYTES
    const budget = new ByteBudget({ totalBytes })
    const create = () => {
      const answer = { account: budget.open(), source: createSource(), queued: [] as number[], unsent: 0 }
      answer.account.attach(answer.source)
      return answer
    }
    const answers = Array.from({ length: 8 }, create)
    steps.forEach(({ answer: at, action, bytes }) => {
      const answer = answers[at]
      const { account, source, queued } = answer
      if (action === 'read' && !source.paused) {
        queued.push(bytes)
        account.charge(bytes)
      } else if (action === 'pass' && queued.length > 0) {
        const passed = queued.shift() ?? 0
        account.release(passed)
        answer.unsent += passed
        account.setUnsent(answer.unsent)
      } else if (action === 'take') {
        answer.unsent = Math.max(0, answer.unsent - bytes)
        account.setUnsent(answer.unsent)
      } else if (action === 'assign') account.assignTo(`client-${bytes % 3}`)
      else if (action === 'reopen') {
        account.close()
        answers[at] = create()
      }
      const sum = answers.reduce((total, { account: { usedBytes } }) => total + usedBytes, budget.pausedCount * READ_BYTES)
      t.is(budget.usedBytes, sum)
      t.true(sum <= totalBytes + 8 * 3 * READ_BYTES)
      answers.forEach(({ account: { pausableBytes, paused }, source: { paused: sourcePaused } }) => {
        t.is(paused, sourcePaused)
        if (pausableBytes === 0) t.false(paused)
      })
    })
    answers.forEach(({ account }) => account.close())
    t.is(budget.usedBytes, 0)
  }), { seed: 5, numRuns: 60 })
})
