/**
 * Health of a backend server, as observed by requests. Pure.
 *
 * An unreachable or silent server is put in backoff, longer each time, and then tried with new work again. One that often fails in this way is
 * avoided by its share of failures. Answers that fail are judged against those of the other servers.
 */
import {FailureRecord} from './failure-record.js';
import type {Trouble} from './plan.js';

/** Initial and maximum backoff, in milliseconds: a crashed server delays its callers once in this time. */
const initialBackoff = 1000;
const maxBackoff = 8000;

/** Backoff of a server that reports being full, in milliseconds: about the time in which one of its slots becomes free. */
const fullBackoff = 100;

/** Weight of the latest request in the smoothed share of lost ones. */
const smoothing = 0.15;

/** Share of lost requests above which a server is avoided while others are better. */
const unreliableShare = 0.35;

/**
 * Half-life of a high failure share without new answers, initial and maximum, in milliseconds. It doubles with each failure after the share
 * had decayed: a server that fails every request is tried about four times a minute at most, and a recovered one has work again in half a minute.
 */
const initialHalfLife = 5000;
const maxHalfLife = 40_000;

/** Health of one server. */
export class ServerHealth {
	/** Answers that failed. */
	readonly failures = new FailureRecord();
	/** Whether failed answers are disregarded, since too many servers of the service fail. */
	isIgnoringFailures = false;
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

	/** Share of requests that are expected to fail here beyond those that fail on any server, from 0 to 1. */
	computeFailureShare(now: number): number {
		return Math.max(this.#computeLostShare(now), this.isIgnoringFailures ? 0 : this.failures.excess);
	}

	/** Whether so many answers fail that other servers are preferred. */
	isUnreliable(now: number): boolean {
		return this.#isOftenLost(now) || this.#isAvoided;
	}

	/** Whether it may take one more request beside `taskCount` others. A server on probation takes one at a time. */
	mayTake(taskCount: number, now: number, canRepeat = false): boolean {
		if (this.#isOftenLost(now) || (this.#isOnProbation && taskCount > 0)) {
			return false;
		}

		return !this.#isAvoided || this.failures.isTrialDue(taskCount, now, canRepeat);
	}

	/** Records a complete answer. */
	recordSuccess(now: number): void {
		this.#backoff = initialBackoff;
		this.failures.recordSuccess(now);
		this.#setFailureShare(this.#computeLostShare(now) * (1 - smoothing), now);
		if (!this.#isOftenLost(now)) {
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

		if (trouble === 'spoiled') {
			this.failures.recordFailure(now);
			return false;
		}

		// Requests that were sent before the backoff began observe the same silence. Counted one by one, three
		// connections that fell silent together would make the server unreliable.
		if (trouble === 'silent' && this.isBackingOff(now)) {
			return false;
		}

		this.#recordLoss(now);
		if (this.isBackingOff(now)) {
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

	get #isAvoided(): boolean {
		return this.failures.isAvoided && !this.isIgnoringFailures;
	}

	/** Smoothed share of requests at which the server was unreachable or silent, from 0 to 1. A high share decays with time, since an avoided server gets no work that could show its recovery. */
	#computeLostShare(now: number): number {
		return this.#failureShare > unreliableShare
			? this.#failureShare * (0.5 ** (Math.max(0, now - this.#failureShareAt) / this.#halfLife))
			: this.#failureShare;
	}

	#isOftenLost(now: number): boolean {
		return this.#computeLostShare(now) > unreliableShare;
	}

	#recordLoss(now: number): void {
		const hasDecayed = this.#isOnProbation && !this.#isOftenLost(now);
		this.#setFailureShare((this.#computeLostShare(now) * (1 - smoothing)) + smoothing, now);
		if (hasDecayed) {
			this.#halfLife = Math.min(maxHalfLife, this.#halfLife * 2);
		}

		this.#isOnProbation ||= this.#isOftenLost(now);
	}

	#setFailureShare(share: number, now: number): void {
		this.#failureShare = share;
		this.#failureShareAt = now;
	}
}
