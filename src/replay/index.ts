export * from './generate-trace.js';
export * from './measures.js';
export * from './outcomes.js';
export * from './replay.js';
export * from './trace.js';
export * from './variants.js';
