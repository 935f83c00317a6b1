/**
 * Estimates when each backend server will have prefilled the prompts sent to it. Pure.
 *
 * Engines prefill by priority. For each priority it keeps the time at which all prompts of that and of earlier
 * priorities are expected to be prefilled. Since these are times rather than amounts, errors do not accumulate.
 */
import type {BackendServerId} from '../../common/index.js';
import type {ServerState} from './ledger.js';

/** Maximum prompt length of each engine priority, in tokens; shorter prompts are prefilled first. */
const priorityMaxTokens = [8000, 32_000, 100_000, 300_000, Number.POSITIVE_INFINITY];

/** First priority of long prompts, of which a server prefills one at a time. */
const firstLongPriority = 2;

/** Expected wait for the prefill chunk in progress of a lower-priority prompt, in milliseconds. */
const chunkWait = 13;

/** Expected prefill of a prompt. */
export type ExpectedPrefill = {
	server: BackendServerId;
	priority: number;
	/** Duration in milliseconds. */
	duration: number;
	/** Monotonic end time in milliseconds. */
	end: number;
};

/** Priority of a prompt at the engine; the smallest is prefilled first. */
export function computePriority(promptTokens: number): number {
	return priorityMaxTokens.findIndex(length => promptTokens <= length);
}

/** Whether a prompt counts as long. */
export function isLongPrompt(promptTokens: number): boolean {
	return computePriority(promptTokens) >= firstLongPriority;
}

/** Expected prefill times of the servers of a pool. */
export class PrefillEstimator {
	/** For each server, the monotonic end time of each priority. */
	readonly #endTimes = new Map<BackendServerId, number[]>();

	/** Predicts the milliseconds until the first token of a prompt of which `cached` tokens are cached. */
	predictFirstToken(server: ServerState, promptTokens: number, cached: number, now: number): number {
		const times = this.#endTimes.get(server.id);
		const duration = computePrefillTime(server, promptTokens - cached);
		if (times === undefined) {
			return duration;
		}

		const priority = computePriority(promptTokens);
		const isPrefillingLater = times.at(-1)! > Math.max(now, times[priority]);
		return Math.max(0, times[priority] - now) + duration + (isPrefillingLater ? chunkWait : 0);
	}

	/** Estimates the milliseconds until a server has prefilled all its prompts. */
	estimateBacklog(server: BackendServerId, now: number): number {
		return Math.max(0, (this.#endTimes.get(server)?.at(-1) ?? 0) - now);
	}

	/** Estimates the remaining prefill of lower-priority prompts on a server, in milliseconds; a prompt of this length would delay it. */
	estimateLaterBacklog(server: BackendServerId, promptTokens: number, now: number): number {
		const times = this.#endTimes.get(server);
		return times === undefined ? 0 : Math.max(0, times.at(-1)! - Math.max(now, times[computePriority(promptTokens)]));
	}

	/** Records that a prompt was sent to a server. The result is passed to `recordDone` when the request has ended. */
	recordSent(server: ServerState, promptTokens: number, cached: number, now: number): ExpectedPrefill {
		const duration = computePrefillTime(server, promptTokens - cached);
		const times = this.#endTimes.get(server.id) ?? priorityMaxTokens.map(() => now);
		const first = computePriority(promptTokens);
		for (let priority = first; priority < times.length; priority++) {
			times[priority] = Math.max(times[priority], now) + duration;
		}

		this.#endTimes.set(server.id, times);
		return {
			server: server.id, priority: first, duration, end: times[first],
		};
	}

	/**
	 * Records that a request has ended. If it ended before the expected end of its prefill, the server
	 * is faster than estimated, and its end times are moved forward by at most the duration of that prefill.
	 */
	recordDone(expected: ExpectedPrefill, now: number): void {
		const times = this.#endTimes.get(expected.server);
		const ahead = Math.min(expected.duration, expected.end - now);
		if (times === undefined || ahead <= 0) {
			return;
		}

		for (let {priority} = expected; priority < times.length; priority++) {
			times[priority] -= ahead;
		}
	}
}

/** Computes the milliseconds that a server needs to prefill tokens. */
export function computePrefillTime(server: ServerState, tokens: number): number {
	return Math.max(0, tokens) / server.prefillRate * 1000;
}
