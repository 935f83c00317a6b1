export * from './canceller.js';
export * from './engine-client.js';
export * from './failure.js';
export * from './plain-client.js';
