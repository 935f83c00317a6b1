export * from './addresses.js';
export * from './peer-beat.js';
export * from './peer-lives.js';
export * from './peer-rpc.js';
export * from './peer-socket.js';
export * from './peers.js';
export * from './plan-news.js';
