export * from './response-sink.js';
export * from './caller-request.js';
export * from './grant-client.js';
export * from './prompt-prefixes.js';
export * from './recording.js';
export * from './run-keys.js';
export * from './entry.js';
export type {RawRequest} from './parse-request.js';
