export * from './engine-model.js';
export * from './long-queue.js';
export type * from './plan.js';
export * from './planner.js';
export * from './server-board.js';
export * from './server-health.js';
