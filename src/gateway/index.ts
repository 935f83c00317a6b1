export {closeEarlyListener} from './early-listener.js';
export * from './gateway.js';
export * from './gateway-settings.js';
export {statusPath, type NodeStatus} from './node-status.js';
export * from './settings-change.js';
export * from './settings-reloader.js';
export * from './wire.js';
