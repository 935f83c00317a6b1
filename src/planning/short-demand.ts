/**
 * Forecasts what a long prefill costs the short requests that arrive while it stalls its servers. Pure.
 *
 * Load pattern: a burst of thirty short prompts a second on nine servers, and a prompt of 276,000 tokens that is prefilled by eight of them for
 * 1.1 s. Nothing waits when it starts, so that its servers seem idle, and all short prompts of that second are late.
 */
import type {EngineProfile} from '../routing/index.js';
import {computeValue, lateValueShare} from './answer-value.js';
import {computePassTime, computePrefillTime} from './engine-model.js';
import type {PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';

/** Time for which an arrival counts as demand, in milliseconds: bursts last for seconds, so that a longer window sees them late. */
const demandWindow = 2000;

/** Share of a server's time that short prefills may use, and of its slots that they may fill, in a burst. */
const usableShare = 0.95;

/** A short request that arrived. */
type Arrival = {at: number; promptTokens: number; outputTokens: number; objective: number};

/** Short requests of the last seconds, as a forecast of the next one. */
export class ShortDemand {
	readonly #arrivals: Arrival[] = [];

	/** Records a request on arrival, not when it asks again. */
	add({waited, promptTokens, outputTokens, objective}: PlanRequest, now: number): void {
		if (waited === 0) {
			this.#arrivals.push({
				at: now, promptTokens, outputTokens, objective: Math.max(0, objective),
			});
		}
	}

	/** Summarises the demand; undefined without any. */
	summarise(engine: EngineProfile, now: number): ShortForecast | undefined {
		while (this.#arrivals.length > 0 && this.#arrivals[0].at <= now - demandWindow) {
			this.#arrivals.shift();
		}

		const count = this.#arrivals.length;
		if (count === 0) {
			return undefined;
		}

		const computeMean = (read: (arrival: Arrival) => number) => this.#arrivals.reduce((sum, arrival) => sum + read(arrival), 0) / count;
		const promptTokens = computeMean(arrival => arrival.promptTokens);
		return {
			rate: count / demandWindow,
			objective: computeMean(arrival => arrival.objective),
			lateLoss: computeValue(promptTokens) * (1 - lateValueShare),
			prefillTime: computePrefillTime(engine, promptTokens),
			answerTime: computeMean(arrival => arrival.outputTokens) / engine.stepsPerPass * computePassTime(engine, 1, promptTokens),
		};
	}
}

/** Demand for short requests: arrivals per millisecond, and means of one request, in milliseconds and tokens. */
export type ShortForecast = {rate: number; objective: number; lateLoss: number; prefillTime: number; answerTime: number};

/** Share of the forecast that holds while `writers` requests decode: far fewer than the demand would keep there mean that the burst has ended. */
export function estimateConfidence({rate, answerTime}: ShortForecast, writers: number): number {
	return Math.min(1, writers / Math.max(1, rate * answerTime));
}

/** Loss of the short requests that arrive in the next `stallTime` milliseconds and find no room on `servers`, in tokens. */
export function estimateOverflowLoss(forecast: ShortForecast, servers: ServerLoad[], engine: EngineProfile, stallTime: number): number {
	// Requests that arrive later start within their objective after the stall.
	const exposure = stallTime - forecast.objective;
	if (exposure <= 0) {
		return 0;
	}

	const room = servers.reduce((sum, load) => sum + estimateRoom(forecast, load, engine, exposure), 0);
	return Math.max(0, (forecast.rate * exposure) - room) * forecast.lateLoss;
}

/** Number of short requests that a server can start in time within `time` milliseconds. */
function estimateRoom({prefillTime, answerTime}: ShortForecast, load: ServerLoad, engine: EngineProfile, time: number): number {
	const ended = load.writers * Math.min(1, time / Math.max(1, answerTime));
	const slots = Math.max(0, (engine.slots * usableShare) - load.writers + ended);
	return Math.min(slots, time * usableShare / Math.max(1, prefillTime));
}
