export type * from './answers.js';
export * from './node-clients.js';
export * from './node-fetch.js';
export * from './node-service.js';
export * from './router.js';
