export * from './fleet-source.js';
export * from './fleet-state.js';
export * from './follower.js';
export * from './model.js';
export * from './route-table.js';
