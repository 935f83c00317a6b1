export * from './load-settings.js';
export type * from './settings.js';
