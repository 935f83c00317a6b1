/**
 * What reading was asked for lately, and so what it costs those soon to come when servers are taken. Pure.
 *
 * Those of the last seconds stand for those to come: each of them would have met fewer servers, or waited.
 */
import type {EngineFigures} from '../routing/index.js';
import {computeWorth, lateShare} from './credit.js';
import {computeReadTime} from './engine-model.js';
import type {PlanRequest} from './plan.js';

/** Time for which a request counts as demand, in milliseconds: a few times the longest read. */
const demandMemory = 10_000;

/** Most servers that read one prompt. */
export const mostReaders = 16;

/** One request that was asked for. */
type Asked = {at: number; readTime: number; objective: number; worth: number};

/** Reads of the last seconds. */
export class ReadDemand {
	readonly #asked: Asked[] = [];

	/** Notes a request when it comes, not each time it asks again. */
	add(request: PlanRequest, engine: EngineFigures, now: number): void {
		if (request.waited === 0) {
			this.#asked.push({
				at: now, readTime: computeReadTime(engine, request.promptTokens), objective: request.objective, worth: computeWorth(request.promptTokens),
			});
		}
	}

	/** Reading asked for, as a number of servers that it keeps at work. */
	countServers(now: number): number {
		this.#forget(now);
		return this.#asked.reduce((sum, asked) => sum + asked.readTime, 0) / demandMemory;
	}

	/** Worth that came in with each millisecond. */
	computeWorthRate(now: number): number {
		this.#forget(now);
		return this.#asked.reduce((sum, asked) => sum + asked.worth, 0) / demandMemory;
	}

	/**
	 * What those to come lose when `taken` of `servers` are taken for a time, in tokens.
	 *
	 * Whoever comes meanwhile reads on the others, or waits for the end; it loses when it would be late either way.
	 */
	estimateLoss(taken: number, servers: number, time: number): number {
		const left = Math.min(mostReaders, servers - taken);
		const most = Math.min(mostReaders, servers);
		let loss = 0;
		for (const {readTime, objective, worth} of this.#asked) {
			const isLateBeside = left <= 0 || readTime / left > objective;
			const shutOut = time - Math.max(0, objective - (readTime / most));
			const isLostAnyway = readTime / most > objective;
			if (isLateBeside && !isLostAnyway && shutOut > 0) {
				loss += worth * (1 - lateShare) * shutOut / demandMemory;
			}
		}

		return loss;
	}

	#forget(now: number): void {
		while (this.#asked.length > 0 && this.#asked[0].at < now - demandMemory) {
			this.#asked.shift();
		}
	}
}
