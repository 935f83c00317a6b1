/** A model server that computes in passes and may be silent for a while, on a virtual clock. */
import type {VirtualClock} from '../../src/common/index.js';
import {PassServer} from '../../src/replay/routed/index.js';
import type {BackendServer} from '../../src/routing/index.js';
import {engine} from './planning.js';

/** One server and its process. */
export class ModelledServer {
	readonly passes: PassServer;
	/** Time at which each reservation of memory expires, in milliseconds, by reservation id. */
	readonly memory = new Map<string, number>();
	isDraining = false;
	/** Time until which it is silent, by the monotonic clock, in milliseconds. */
	silentUntil = 0;
	readonly #clock: VirtualClock;

	constructor(readonly entry: BackendServer, clock: VirtualClock, pace: number) {
		this.#clock = clock;
		this.passes = new PassServer(engine, (delay, callback) => {
			clock.setTimer(delay, callback);
		});
		this.passes.pace = pace;
	}

	/** Calls back once the server may answer. */
	answer(callback: () => void): void {
		const delay = this.silentUntil - this.#clock.readMonotonic();
		if (delay <= 0) {
			callback();
			return;
		}

		this.#clock.setTimer(delay, () => {
			this.answer(callback);
		});
	}
}
