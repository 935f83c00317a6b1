/** Manually advanced clock for replays and tests. */
import TinyQueue from 'tinyqueue';
import type {Clock, Timer} from './clock.js';

type PendingTimer = {
	dueAt: number;
	sequence: number;
	callback: () => void;
	isCancelled: boolean;
};

/** Unix time at which virtual clocks start, in milliseconds. */
const epoch = Date.UTC(2026, 0, 1);

/** Clock that changes only by `advance` and `fireNext`. Timers due at the same time fire in the order in which they were set. */
export class VirtualClock implements Clock {
	#elapsed = 0;
	#nextSequence = 0;
	readonly #timers = new TinyQueue<PendingTimer>([], (left, right) => left.dueAt - right.dueAt || left.sequence - right.sequence);

	now(): Date {
		return new Date(epoch + this.#elapsed);
	}

	readMonotonic(): number {
		return this.#elapsed;
	}

	setTimer(delay: number, callback: () => void): Timer {
		const timer = {
			dueAt: this.#elapsed + Math.max(0, delay), sequence: this.#nextSequence++, callback, isCancelled: false,
		};
		this.#timers.push(timer);
		return {
			cancel() {
				timer.isCancelled = true;
			},
		};
	}

	/** Advances the clock by a number of milliseconds and fires every timer that becomes due. */
	advance(milliseconds: number): void {
		const end = this.#elapsed + milliseconds;
		while (this.#findNext() !== undefined && this.#findNext()!.dueAt <= end) {
			this.fireNext();
		}

		this.#elapsed = end;
	}

	/** Advances the clock to the next timer and fires it; returns false when no timer is pending. */
	fireNext(): boolean {
		const timer = this.#findNext();
		if (timer === undefined) {
			return false;
		}

		this.#timers.pop();
		this.#elapsed = Math.max(this.#elapsed, timer.dueAt);
		timer.callback();
		return true;
	}

	#findNext(): PendingTimer | undefined {
		while (this.#timers.peek()?.isCancelled) {
			this.#timers.pop();
		}

		return this.#timers.peek();
	}
}
