/**
 * Health of a backend server, as observed by requests. Pure.
 *
 * A single failed answer excludes no server. An unreachable or silent server is put in backoff, longer each time, and then tried with new
 * work again.
 */
import type {Trouble} from './plan.js';

/** Initial and maximum backoff, in milliseconds: a crashed server delays its callers once in this time. */
const initialBackoff = 1000;
const maxBackoff = 8000;

/** Backoff of a server that reports being full, in milliseconds: about the time in which one of its slots becomes free. */
const fullBackoff = 100;

/** Weight of the latest answer in the smoothed failure share. */
const smoothing = 0.15;

/** Failure share above which a server is avoided while others are better. */
const unreliableShare = 0.35;

/**
 * Half-life of a high failure share without new answers, initial and maximum, in milliseconds. It doubles with each failure after the share
 * had decayed: a server that fails every request is tried about four times a minute at most, and a recovered one has work again in half a minute.
 */
const initialHalfLife = 5000;
const maxHalfLife = 40_000;

/** Health of one server. */
export class ServerHealth {
	#backoffUntil = 0;
	#backoff = initialBackoff;
	#failureShare = 0;
	/** When the failure share was last computed. */
	#failureShareAt = 0;
	#halfLife = initialHalfLife;
	/** Whether the server was unreliable and has not completed an answer since. */
	#isOnProbation = false;

	/** Whether the server is in backoff. */
	isBackingOff(now: number): boolean {
		return now < this.#backoffUntil;
	}

	/** Remaining backoff, in milliseconds. */
	computeBackoffLeft(now: number): number {
		return Math.max(0, this.#backoffUntil - now);
	}

	/** Smoothed share of failed answers, from 0 to 1. A high share decays with time, since an avoided server gets no work that could show its recovery. */
	computeFailureShare(now: number): number {
		return this.#failureShare > unreliableShare
			? this.#failureShare * (0.5 ** (Math.max(0, now - this.#failureShareAt) / this.#halfLife))
			: this.#failureShare;
	}

	/** Whether so many answers fail that other servers are preferred. */
	isUnreliable(now: number): boolean {
		return this.computeFailureShare(now) > unreliableShare;
	}

	/** Whether it may take one more request beside `taskCount` others. A server on probation takes one at a time. */
	mayTake(taskCount: number, now: number): boolean {
		return !this.isUnreliable(now) && (!this.#isOnProbation || taskCount === 0);
	}

	/** Records a complete answer. */
	recordSuccess(now: number): void {
		this.#backoff = initialBackoff;
		this.#setFailureShare(this.computeFailureShare(now) * (1 - smoothing), now);
		if (!this.isUnreliable(now)) {
			this.#isOnProbation = false;
			this.#halfLife = initialHalfLife;
		}
	}

	/** Records a failure; returns whether a new backoff starts. */
	recordFailure(trouble: Trouble, now: number): boolean {
		if (trouble === 'full') {
			this.#backoffUntil = Math.max(this.#backoffUntil, now + fullBackoff);
			return false;
		}

		// Requests that were sent before the backoff began observe the same silence. Counted one by one, three
		// connections that fell silent together would make the server unreliable.
		if (trouble === 'silent' && this.isBackingOff(now)) {
			return false;
		}

		this.#recordFailedAnswer(now);
		if (trouble === 'spoiled' || this.isBackingOff(now)) {
			return false;
		}

		this.#backoffUntil = now + this.#backoff;
		this.#backoff = Math.min(maxBackoff, this.#backoff * 2);
		return true;
	}

	/** Starts a backoff of `time` milliseconds, which the server has asked for. */
	recordRest(time: number, now: number): void {
		this.#backoffUntil = Math.max(this.#backoffUntil, now + time);
	}

	#recordFailedAnswer(now: number): void {
		const hasDecayed = this.#isOnProbation && !this.isUnreliable(now);
		this.#setFailureShare((this.computeFailureShare(now) * (1 - smoothing)) + smoothing, now);
		if (hasDecayed) {
			this.#halfLife = Math.min(maxHalfLife, this.#halfLife * 2);
		}

		this.#isOnProbation ||= this.isUnreliable(now);
	}

	#setFailureShare(share: number, now: number): void {
		this.#failureShare = share;
		this.#failureShareAt = now;
	}
}
