/** Attribution of backend server crashes to the requests that were running, and what follows from it. */
export * from './abandoned-attempts.js';
export * from './crash-attribution.js';
export * from './crash-records.js';
export * from './crash-traits.js';
export * from './isolation-trials.js';
export * from './quarantine.js';
