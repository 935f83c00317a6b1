/** A virtual clock of a process that may stall: timers due during a stall fire late, and before received data is read. */
import {VirtualClock, type Clock, type Timer} from '../../src/common/index.js';

/** The clock; `arrivalClock` times data that the process receives over its connections. */
export class StallingClock extends VirtualClock {
	readonly arrivalClock: Clock;
	#stalledUntil: number | undefined;
	#pendingReads: Array<() => void> = [];

	constructor() {
		super();
		this.arrivalClock = {
			now: () => this.now(),
			readMonotonic: () => this.readMonotonic(),
			setTimer: (delay, callback) => this.#setArrivalTimer(delay, callback),
		};
	}

	override readMonotonic(): number {
		return this.#stalledUntil ?? super.readMonotonic();
	}

	/** Stalls for a time in milliseconds; data received meanwhile is read in the next turn of the event loop. */
	async stall(time: number): Promise<void> {
		this.#stalledUntil = super.readMonotonic() + time;
		this.advance(time);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		this.#stalledUntil = undefined;
		const pendingReads = this.#pendingReads;
		this.#pendingReads = [];
		for (const read of pendingReads) {
			read();
		}
	}

	#setArrivalTimer(delay: number, callback: () => void): Timer {
		let isCancelled = false;
		const timer = this.setTimer(delay, () => {
			const read = () => {
				if (!isCancelled) {
					callback();
				}
			};

			if (this.#stalledUntil === undefined) {
				read();
			} else {
				this.#pendingReads.push(read);
			}
		});
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};
	}
}
