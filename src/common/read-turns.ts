/** Shares the event loop between the connections whose data is processed. */
import type {Clock} from './clock.js';

/** Time for which the data of all connections is processed before the event loop turns, in milliseconds. */
const maxTurnTime = 1;

/** Share of that time from which a turn is noticed: its callback would otherwise cost each small read a wake-up. */
const noticedShare = 0.5;

/** Time for which busy connections are read one after another before they leave time to the others, in milliseconds. */
const maxBusyTime = 2;

/** Share of the time that all busy connections have together. */
export const busyShare = 2 / 3;

/** A connection whose data is processed. */
export type TurnTaker = {
	/** Whether the connection has more data than it has time for. */
	readonly isBusy: boolean;
	/** Called when the connection may go on. */
	resume(): void;
};

/**
 * Counts the time that connections use, and has them wait for each other.
 *
 * Time is counted because the cost of bytes is not known before they are parsed: 64 KB are one piece of a body or
 * 21,845 events. Connections that are not busy go on in the next turn of the event loop; busy ones share a part of
 * the time, so that a flood leaves the rest to timers, callers and other connections.
 */
export class ReadTurns {
	readonly #clock: Clock;
	readonly #waiting: TurnTaker[] = [];
	readonly #waitingBusy: TurnTaker[] = [];
	#usedTime = 0;
	#isTurnScheduled = false;
	#isBusyScheduled = false;
	/** When busy connections have left enough time to the others. */
	#restsUntil = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Whether the time of this turn has been used up. */
	get isUsedUp(): boolean {
		return this.#usedTime >= maxTurnTime;
	}

	/** Monotonic time in milliseconds. */
	readTime(): number {
		return this.#clock.readMonotonic();
	}

	/** Adds time that a connection used. */
	charge(time: number): void {
		this.#usedTime += time;
		if (this.#usedTime >= maxTurnTime * noticedShare) {
			this.#scheduleTurn();
		}
	}

	/** Has a connection wait until it is resumed. */
	enqueue(taker: TurnTaker): void {
		if (taker.isBusy) {
			this.#waitingBusy.push(taker);
			this.#scheduleBusy();
		} else {
			this.#waiting.push(taker);
			this.#scheduleTurn();
		}
	}

	#scheduleTurn(): void {
		if (!this.#isTurnScheduled) {
			this.#isTurnScheduled = true;
			setImmediate(() => {
				this.#isTurnScheduled = false;
				this.#usedTime = 0;
				this.#resume(this.#waiting, maxTurnTime);
				if (this.#waiting.length > 0) {
					this.#scheduleTurn();
				}
			});
		}
	}

	#scheduleBusy(): void {
		if (!this.#isBusyScheduled) {
			this.#isBusyScheduled = true;
			this.#clock.setTimer(Math.max(0, this.#restsUntil - this.readTime()), () => {
				const usedTime = this.#resume(this.#waitingBusy, maxBusyTime);
				this.#isBusyScheduled = false;
				this.#restsUntil = this.readTime() + (usedTime * ((1 / busyShare) - 1));
				if (this.#waitingBusy.length > 0) {
					this.#scheduleBusy();
				}
			});
		}
	}

	/** Resumes connections until a time is used up, and returns the time that they used. Those that wait again go last. */
	#resume(queue: TurnTaker[], maxTime: number): number {
		const startedAt = this.readTime();
		let usedTime = 0;
		while (queue.length > 0 && usedTime < maxTime) {
			queue.shift()!.resume();
			usedTime = this.readTime() - startedAt;
		}

		return usedTime;
	}
}
