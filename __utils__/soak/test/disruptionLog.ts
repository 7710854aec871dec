import { ALL_SUBJECTS, DisruptionKind, DisruptionLog } from '@reelspan/utils.soak'
import test from 'ava'

test('a disruption affects only its subject until it ends, and one of all subjects affects each of them', (t) => {
  const disruptions = new DisruptionLog()
  const fromMs = performance.now()
  const endDisruption = disruptions.begin('box-1', DisruptionKind.Planned)
  t.false(disruptions.isUndisrupted(['box-1'], { fromMs: fromMs + 1000, toMs: fromMs + 2000 }))
  t.true(disruptions.isUndisrupted(['box-1'], { fromMs: fromMs + 1000, toMs: fromMs + 2000 }, [DisruptionKind.Unplanned]))
  t.true(disruptions.isUndisrupted(['box-2'], { fromMs, toMs: fromMs + 2000 }))
  endDisruption()
  t.true(disruptions.isUndisrupted(['box-1'], { fromMs: fromMs + 1000, toMs: fromMs + 2000 }))
  disruptions.record(ALL_SUBJECTS, { fromMs: 5, toMs: 6 })
  t.false(disruptions.isUndisrupted(['box-2'], { fromMs: 6, toMs: 7 }))
  t.true(disruptions.isUndisrupted(['box-2'], { fromMs: 7, toMs: 8 }))
})
