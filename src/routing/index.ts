export * from './config-changes.js';
export * from './fleet-source.js';
export * from './fleet-state.js';
export * from './follower.js';
export type * from './model.js';
export * from './route-table.js';
export * from './server-view.js';
export * from './source-ages.js';
export * from './source-health.js';
