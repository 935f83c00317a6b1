export * from './pass-server.js';
export * from './routed-measures.js';
export * from './routed-replay.js';
export * from './workloads.js';
export * from './replayed-request.js';
