export * from './policy.js';
export * from './variables.js';
