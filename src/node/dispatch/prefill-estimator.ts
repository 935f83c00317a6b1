/**
 * When each backend server is expected to have read the prompts sent to it. Pure.
 *
 * Engines honour priorities: a prompt is read before what is left of those of a
 * later priority. One time is kept for each priority: when all prompts of it and
 * of earlier ones will have been read. They are times, not amounts, so that an
 * error dies out by itself.
 */
import type {BackendServerId} from '../../common/index.js';
import type {ServerState} from './ledger.js';

/** Upper ends of the lengths that share an engine priority, in tokens; shorter goes first. */
const priorityMaxTokens = [8000, 32_000, 100_000, 300_000, Number.POSITIVE_INFINITY];

/** First priority of prompts that count as long: a server reads one of them at a time. */
const firstLongPriority = 2;

/** Expected time for which a prompt waits for the piece of a later one that is being read, in milliseconds. */
const chunkWait = 13;

/** When a prompt was expected to have been read. */
export type ExpectedPrefill = {
	server: BackendServerId;
	priority: number;
	/** Milliseconds of reading. */
	duration: number;
	/** Monotonic time. */
	end: number;
};

/** Priority of a prompt at the engine; the least goes first. */
export function computePriority(promptTokens: number): number {
	return priorityMaxTokens.findIndex(length => promptTokens <= length);
}

/** Whether a prompt is long. */
export function isLongPrompt(promptTokens: number): boolean {
	return computePriority(promptTokens) >= firstLongPriority;
}

/** Expected reading times of a pool's servers. */
export class PrefillEstimator {
	/** For each server, the monotonic time for each priority. */
	readonly #endTimes = new Map<BackendServerId, number[]>();

	/** Milliseconds until the first token of a prompt of which this many tokens are not cached. */
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

	/** Milliseconds until every prompt on a server has been read. */
	estimateBacklog(server: BackendServerId, now: number): number {
		return Math.max(0, (this.#endTimes.get(server)?.at(-1) ?? 0) - now);
	}

	/** Milliseconds by which a prompt of a priority holds up those of later ones on a server. */
	estimateLaterBacklog(server: BackendServerId, promptTokens: number, now: number): number {
		const times = this.#endTimes.get(server);
		return times === undefined ? 0 : Math.max(0, times.at(-1)! - Math.max(now, times[computePriority(promptTokens)]));
	}

	/** Notes that a prompt was sent to a server. Returns what `recordDone` needs when its request has ended. */
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
	 * Notes that a request has ended. One that ended before its prompt was expected to be read
	 * shows that the server is ahead of its times, by at most that prompt.
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

/** Milliseconds for reading tokens of a prompt. */
export function computePrefillTime(server: ServerState, tokens: number): number {
	return Math.max(0, tokens) / server.prefillRate * 1000;
}
