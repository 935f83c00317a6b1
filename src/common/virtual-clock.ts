/** A clock that stands still until it is moved: for replays and tests. */
import TinyQueue from 'tinyqueue';
import type {Clock, Timer} from './clock.js';

type PendingTimer = {
	dueAt: number;
	sequence: number;
	callback: () => void;
	isCancelled: boolean;
};

/** Unix time at which virtual clocks begin, in milliseconds. */
const epoch = Date.UTC(2026, 0, 1);

/** Time that moves only when told. Timers due at the same time fire in the order they were set. */
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

	/** Moves time forward by milliseconds and fires every timer that falls due on the way. */
	advance(milliseconds: number): void {
		const end = this.#elapsed + milliseconds;
		while (this.#findNext() !== undefined && this.#findNext()!.dueAt <= end) {
			this.fireNext();
		}

		this.#elapsed = end;
	}

	/** Moves time to the next timer and fires it; false when none is left. */
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
