export * from './addresses.js';
export * from './heartbeat.js';
export * from './peer-table.js';
export * from './peer-routes.js';
export * from './peer-rpc.js';
export * from './peer-socket.js';
export * from './peers.js';
export * from './plan-update.js';
