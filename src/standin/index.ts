export * from './faulty-network.js';
export * from './standin-engine.js';
export * from './standin-plain.js';
export * from './standin-platform.js';
export * from './standin-fleet.js';
