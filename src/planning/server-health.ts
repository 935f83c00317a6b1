/**
 * How far a backend server is trusted, from what requests have seen of it. Pure.
 *
 * Nothing is taken out on one failed answer; a server that cannot be reached or keeps
 * silent is left alone for a while, longer each time, and then tried with new work again.
 */
import type {Trouble} from './plan.js';

/** First time for which a server is left alone, and the longest, in milliseconds: a crashed server costs its callers one silence in this time. */
const firstRest = 1000;
const longestRest = 8000;

/** A server that refuses as full is passed over this long, in milliseconds: about the time in which one of its places becomes free. */
const fullRest = 100;

/** Weight of the newest answer in the share of spoiled ones. */
const smoothing = 0.15;

/** Share of spoiled answers from which a server is passed over while others are better. */
const spoiledShare = 0.35;

/**
 * Time in which doubt halves while nothing is heard of a server, first and at most, in milliseconds. It doubles with each request that fails
 * after doubt had faded: a server that fails them all is tried about four times a minute at most, and one that is well has work again in half a minute.
 */
const firstHalfLife = 5000;
const longestHalfLife = 40_000;

/** Trust in one server. */
export class ServerHealth {
	#restingUntil = 0;
	#rest = firstRest;
	#spoiled = 0;
	/** When its share of spoiled answers was worked out last. */
	#spoiledAt = 0;
	#halfLife = firstHalfLife;
	/** Whether it was doubted and has given no whole answer since. */
	#isOnProbation = false;

	/** Whether the server is left alone at the moment. */
	isBackingOff(now: number): boolean {
		return now < this.#restingUntil;
	}

	/** For how long the server is left alone from now on, in milliseconds. */
	computeBackoffLeft(now: number): number {
		return Math.max(0, this.#restingUntil - now);
	}

	/** Smoothed share of answers that were spoiled, from 0 to 1. Doubt fades: a doubted server gets no work that could show that it is well. */
	computeFailureShare(now: number): number {
		return this.#spoiled > spoiledShare
			? this.#spoiled * (0.5 ** (Math.max(0, now - this.#spoiledAt) / this.#halfLife))
			: this.#spoiled;
	}

	/** Whether so many answers are spoiled that others come first. */
	isUnreliable(now: number): boolean {
		return this.computeFailureShare(now) > spoiledShare;
	}

	/** Whether it is trusted with one more request beside so many. One that was doubted is tried with one at a time. */
	mayTake(work: number, now: number): boolean {
		return !this.isUnreliable(now) && (!this.#isOnProbation || work === 0);
	}

	/** Notes a whole answer. */
	recordSuccess(now: number): void {
		this.#rest = firstRest;
		this.#setSpoiled(this.computeFailureShare(now) * (1 - smoothing), now);
		if (!this.isUnreliable(now)) {
			this.#isOnProbation = false;
			this.#halfLife = firstHalfLife;
		}
	}

	/** Notes trouble; returns whether the server is now left alone. */
	recordFailure(trouble: Trouble, now: number): boolean {
		if (trouble === 'full') {
			this.#restingUntil = Math.max(this.#restingUntil, now + fullRest);
			return false;
		}

		// Requests that were sent before the rest began found the same silence. With connections that had fallen silent
		// together, three of them counted one by one took a server out for as long as another one was trusted.
		if (trouble === 'silent' && this.isBackingOff(now)) {
			return false;
		}

		this.#noteSpoiled(now);
		if (trouble === 'spoiled' || this.isBackingOff(now)) {
			return false;
		}

		this.#restingUntil = now + this.#rest;
		this.#rest = Math.min(longestRest, this.#rest * 2);
		return true;
	}

	#noteSpoiled(now: number): void {
		const hadFaded = this.#isOnProbation && !this.isUnreliable(now);
		this.#setSpoiled((this.computeFailureShare(now) * (1 - smoothing)) + smoothing, now);
		if (hadFaded) {
			this.#halfLife = Math.min(longestHalfLife, this.#halfLife * 2);
		}

		this.#isOnProbation ||= this.isUnreliable(now);
	}

	#setSpoiled(share: number, now: number): void {
		this.#spoiled = share;
		this.#spoiledAt = now;
	}
}
