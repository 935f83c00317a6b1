export * from './node.js';
export type {NodeStatus, PoolStatus} from './operators-controller.js';
