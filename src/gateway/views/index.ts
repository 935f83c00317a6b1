export * from './config-lag.js';
export * from './registration.js';
export * from './source-report.js';
export * from './view-answers.js';
export * from './view-exchange.js';
export * from './view-questions.js';
export * from './watchers.js';
