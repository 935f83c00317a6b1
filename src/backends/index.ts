export * from './canceller.js';
export * from './engine-client.js';
export type {EngineEvent} from './event-stream.js';
export * from './failure.js';
export * from './plain-client.js';
