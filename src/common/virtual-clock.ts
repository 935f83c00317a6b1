/** A clock that stands still until it is moved: for replays and tests. */
import type {Clock, Timer} from './clock.js';

type PendingTimer = {
	at: number;
	order: number;
	callback: () => void;
};

/** Unix time at which virtual clocks begin, in milliseconds. */
const epoch = Date.UTC(2026, 0, 1);

/** Time that moves only by `advance`. Timers due at the same time fire in the order they were set. */
export class VirtualClock implements Clock {
	#elapsed = 0;
	#order = 0;
	readonly #timers = new Set<PendingTimer>();

	now(): Date {
		return new Date(epoch + this.#elapsed);
	}

	readMonotonic(): number {
		return this.#elapsed;
	}

	setTimer(delay: number, callback: () => void): Timer {
		const timer = {at: this.#elapsed + Math.max(0, delay), order: this.#order++, callback};
		this.#timers.add(timer);
		return {
			cancel: () => {
				this.#timers.delete(timer);
			},
		};
	}

	/** Moves time forward by milliseconds and fires every timer that falls due on the way. */
	advance(milliseconds: number): void {
		const end = this.#elapsed + milliseconds;
		for (let timer = this.#findNext(end); timer !== undefined; timer = this.#findNext(end)) {
			this.#timers.delete(timer);
			this.#elapsed = Math.max(this.#elapsed, timer.at);
			timer.callback();
		}

		this.#elapsed = end;
	}

	#findNext(end: number): PendingTimer | undefined {
		let next: PendingTimer | undefined;
		for (const timer of this.#timers) {
			const isEarlier = next === undefined || timer.at < next.at || (timer.at === next.at && timer.order < next.order);
			if (timer.at <= end && isEarlier) {
				next = timer;
			}
		}

		return next;
	}
}
