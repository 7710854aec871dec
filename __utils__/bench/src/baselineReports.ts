/** Baseline strategies place requests by engine reports alone, so they poll them more often than a scheduler needs to. */
export const BASELINE_REPORT_SETTINGS = { reportPeriodMs: 500 }
