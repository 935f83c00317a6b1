/**
 * When rejected callers of one service are to come back: each has a time of its own. Pure.
 *
 * Times are monotonic milliseconds.
 */
import type {RequestFingerprint} from '../common/index.js';

/** Minimum and maximum retry delay, and the minimum distance of two return times: a header states whole milliseconds. */
const minRetryDelay = 100;
const maxRetryDelay = 30_000;
const minInterval = 2;

/** Part of the maximum delay over which return times are spread once the schedule is full, and a step that visits all of it evenly. */
const fullSpread = 10_000;
const fullStep = 0.618;

/** Time by which a caller may come back early: its clock and the network are inexact. */
const earlyTolerance = 30;

/** Time after its return time for which a caller counts as the same, and the maximum number of callers that are remembered. */
const placeLifetime = 10_000;
const maxPlaces = 4096;

/** Return times of rejected callers. */
export class ReturnSchedule {
	readonly #places = new Map<RequestFingerprint, number>();
	#lastAt = -Infinity;
	#fullCount = 0;

	/** Retry delay of a rejected request: `delay` at least, and `interval` after the one before it. A caller that is early keeps its time. */
	assign(fingerprint: RequestFingerprint | undefined, {delay, interval}: {delay: number; interval: number}, now: number): number {
		const known = fingerprint === undefined ? undefined : this.#places.get(fingerprint);
		if (known !== undefined && known > now + earlyTolerance) {
			return Math.max(minRetryDelay, known - now);
		}

		const at = this.#findTime(now + Math.max(minRetryDelay, delay), Math.max(minInterval, interval), now);
		if (fingerprint !== undefined) {
			this.#places.delete(fingerprint);
			this.#places.set(fingerprint, at);
			this.#prune(now);
		}

		return at - now;
	}

	/** Whether a caller has been rejected recently and comes back, at its time or not. */
	isRepeat(fingerprint: RequestFingerprint | undefined, now: number): boolean {
		const at = fingerprint === undefined ? undefined : this.#places.get(fingerprint);
		return at !== undefined && now <= at + placeLifetime;
	}

	/** Whether a caller that was rejected comes back at its time, or after it. */
	isDue(fingerprint: RequestFingerprint | undefined, now: number): boolean {
		return this.isRepeat(fingerprint, now) && now >= this.#places.get(fingerprint!)! - earlyTolerance;
	}

	/** Removes a caller that is served. */
	release(fingerprint: RequestFingerprint | undefined): void {
		if (fingerprint !== undefined) {
			this.#places.delete(fingerprint);
		}
	}

	#findTime(earliest: number, interval: number, now: number): number {
		const at = Math.max(earliest, this.#lastAt + interval);
		if (at > now + maxRetryDelay) {
			this.#fullCount++;
			return now + maxRetryDelay - ((this.#fullCount * fullStep) % 1 * fullSpread);
		}

		this.#lastAt = at;
		return at;
	}

	/** Entries are in the order of their rejection, so that the first ones are the oldest. */
	#prune(now: number): void {
		for (const [fingerprint, at] of this.#places) {
			if (this.#places.size <= maxPlaces && at + placeLifetime >= now) {
				return;
			}

			this.#places.delete(fingerprint);
		}
	}
}
