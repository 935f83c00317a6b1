export * from './config-watcher.js';
export * from './fleet-view.js';
