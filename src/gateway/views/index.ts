export * from './config-lag.js';
export * from './registration.js';
export * from './source-age-reporter.js';
export * from './view-exchange.js';
export * from './view-fetcher.js';
export * from './view-responder.js';
export * from './watchers.js';
