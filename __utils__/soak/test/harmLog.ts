import { EVERYTHING, HarmKind, HarmLog } from '@reelspan/utils.soak'
import test from 'ava'

test('a harm lasts until its end, for its subject alone, and what harms everything harms each', (t) => {
  const harms = new HarmLog()
  const fromMs = performance.now()
  const over = harms.begin('box-1', HarmKind.Planned)
  t.false(harms.isUnharmed(['box-1'], { fromMs: fromMs + 1000, toMs: fromMs + 2000 }))
  t.true(harms.isUnharmed(['box-1'], { fromMs: fromMs + 1000, toMs: fromMs + 2000 }, [HarmKind.Unplanned]))
  t.true(harms.isUnharmed(['box-2'], { fromMs, toMs: fromMs + 2000 }))
  over()
  t.true(harms.isUnharmed(['box-1'], { fromMs: fromMs + 1000, toMs: fromMs + 2000 }))
  harms.note(EVERYTHING, { fromMs: 5, toMs: 6 })
  t.false(harms.isUnharmed(['box-2'], { fromMs: 6, toMs: 7 }))
  t.true(harms.isUnharmed(['box-2'], { fromMs: 7, toMs: 8 }))
})
