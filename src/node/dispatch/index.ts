export * from './dispatcher.js';
export * from './ledger.js';
export type * from './messages.js';
export * from './placement.js';
export * from './wait-predictor.js';
