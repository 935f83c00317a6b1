export * from './cold-limits.js';
export {
	classifyTraits, CrashRecords, formatPartTrait, listTraits, type CrashReport, type QuarantineState,
} from './crashes/index.js';
export * from './answer-value.js';
export * from './engine-model.js';
export * from './fleet-retry-budget.js';
export * from './fleet-visibility.js';
export {isColdRejection} from './limit-gate.js';
export * from './plan-handover.js';
export * from './organisation-shares.js';
export * from './plan.js';
export * from './planner.js';
export * from './prefill-demand.js';
export * from './prefill-queue.js';
export * from './prefill-options.js';
export * from './resting-servers.js';
export * from './retry-window.js';
export * from './return-schedule.js';
export * from './server-load.js';
export * from './share-gate.js';
export * from './server-health.js';
export * from './server-limits.js';
export type {PlannedServerStatus} from './server-status.js';
export * from './short-demand.js';
export * from './retry-histories.js';
