/**
 * When each backend server is expected to have read the prompts sent to it. Pure.
 *
 * Engines honour priorities: a short prompt is read before what is left of a
 * long one. Two times are kept for each server, one for short prompts alone and
 * one for all. They are times, not amounts, so that an error dies out by itself.
 */
import type {BackendServerId} from '../../common/index.js';
import type {ServerState} from './ledger.js';

/** Prompts over this many tokens are long: they are held to a share of memory and read one at a time on a server. */
export const longestMediumPrompt = 32_000;

/** Upper ends of the lengths that share an engine priority; shorter goes first. */
const priorityLengths = [8000, longestMediumPrompt, 100_000, 300_000];

type ReadTimes = {
	/** Monotonic time at which all short prompts have been read. */
	short: number;
	/** Monotonic time at which all prompts have been read. */
	all: number;
};

/** Priority of a prompt at the engine; the least goes first. */
export function findPriority(promptTokens: number): number {
	const index = priorityLengths.findIndex(length => promptTokens <= length);
	return index === -1 ? priorityLengths.length : index;
}

/** Whether a prompt is long. */
export function isLongPrompt(promptTokens: number): boolean {
	return promptTokens > longestMediumPrompt;
}

/** Expected reading times of a pool's servers. */
export class PrefillBoard {
	readonly #times = new Map<BackendServerId, ReadTimes>();

	/** Milliseconds until the first token of a prompt of which this many tokens are not cached. */
	predictFirstToken(server: ServerState, promptTokens: number, cached: number, now: number): number {
		const times = this.#times.get(server.id);
		const end = isLongPrompt(promptTokens) ? times?.all : times?.short;
		return Math.max(0, (end ?? 0) - now) + computeReadTime(server, promptTokens - cached);
	}

	/** Milliseconds until every prompt on a server has been read. */
	readBacklog(server: BackendServerId, now: number): number {
		return Math.max(0, (this.#times.get(server)?.all ?? 0) - now);
	}

	/** Notes that a prompt was sent to a server. */
	recordSent(server: ServerState, promptTokens: number, cached: number, now: number): void {
		const read = computeReadTime(server, promptTokens - cached);
		const times = this.#times.get(server.id) ?? {short: now, all: now};
		times.all = Math.max(times.all, now) + read;
		if (!isLongPrompt(promptTokens)) {
			times.short = Math.max(times.short, now) + read;
		}

		this.#times.set(server.id, times);
	}
}

function computeReadTime(server: ServerState, tokens: number): number {
	return Math.max(0, tokens) / server.prefillRate * 1000;
}
