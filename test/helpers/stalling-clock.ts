/** A clock of a process that may stand still: timers that fall due meanwhile fire late, and before what has arrived is read. */
import {VirtualClock, type Clock, type Timer} from '../../src/common/index.js';

/** The clock; `arrivals` is for whatever reaches the process over its connections. */
export class StallingClock extends VirtualClock {
	readonly arrivals: Clock;
	#pausedUntil: number | undefined;
	#unread: Array<() => void> = [];

	constructor() {
		super();
		this.arrivals = {
			now: () => this.now(),
			readMonotonic: () => this.readMonotonic(),
			setTimer: (delay, callback) => this.#setArrival(delay, callback),
		};
	}

	override readMonotonic(): number {
		return this.#pausedUntil ?? super.readMonotonic();
	}

	/** Stands still for a time in milliseconds; what has arrived is read in the next turn. */
	async pause(time: number): Promise<void> {
		this.#pausedUntil = super.readMonotonic() + time;
		this.advance(time);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		this.#pausedUntil = undefined;
		const unread = this.#unread;
		this.#unread = [];
		for (const read of unread) {
			read();
		}
	}

	#setArrival(delay: number, callback: () => void): Timer {
		let isCancelled = false;
		const timer = this.setTimer(delay, () => {
			const read = () => {
				if (!isCancelled) {
					callback();
				}
			};

			if (this.#pausedUntil === undefined) {
				read();
			} else {
				this.#unread.push(read);
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
