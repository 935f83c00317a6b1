/** A clock of a process that may stand still: timers that fall due meanwhile fire late, and before what has arrived is read. */
import {VirtualClock, type Clock, type Timer} from '../../src/common/index.js';

/** The clock; `arrivals` is for whatever reaches the process over its connections. */
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

	/** Stands still for a time in milliseconds; what has arrived is read in the next turn. */
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
