export * from './gateway.js';
export * from './members.js';
export * from './peer-monitor.js';
export * from './pool-host.js';
export * from './reconciler.js';
export * from './registration.js';
export * from './view-directory.js';
