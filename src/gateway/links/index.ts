export * from './link-monitor.js';
export * from './linked-pool.js';
export * from './relay-peers.js';
export * from './relay-service.js';
export {relayPath} from './relay-wire.js';
