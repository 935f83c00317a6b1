export * from './packed-text.js';
export * from './view-answers.js';
export * from './view-exchange.js';
export * from './watchers.js';
