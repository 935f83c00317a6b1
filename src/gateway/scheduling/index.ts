export * from './scheduler-selector.js';
export * from './select-scheduler.js';
export * from './cold-shares.js';
export * from './decision-log.js';
export * from './fleet-placer.js';
export * from './distributed-retry-budget.js';
