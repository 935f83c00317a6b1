/** What a decision knows of the servers besides their boards. */
import type {EngineFigures} from '../routing/index.js';
import type {ServerBoard} from './server-board.js';

/** A pool at one moment. */
export type PoolView = {
	engine: EngineFigures;
	/** How likely each server is dead without anybody knowing it yet, from 0 to 1; those that are not listed are not doubted. */
	doubts: ReadonlyMap<ServerBoard, number>;
	/** Monotonic milliseconds of the planner's clock. */
	now: number;
};
