/** Baselines live by reports: they get fresher ones than a scheduler needs. */
export const BASELINE_REPORTS = { reportPeriodMs: 500 }
