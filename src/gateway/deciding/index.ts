export * from './decider-choice.js';
export * from './deciders.js';
export * from './decision-log.js';
export * from './shared-placer.js';
export * from './shared-retries.js';
