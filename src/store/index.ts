export * from './http-platform.js';
export * from './objects.js';
export * from './platform.js';
