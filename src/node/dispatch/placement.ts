/** Placement policies: choose the open backend server on which a request runs. Pure. */
import type {BackendServerId} from '../../common/index.js';
import type {Ledger, ServerState} from './ledger.js';
import {countTokens, type AdmitRequest} from './messages.js';
import {computePrefillTime, isLongPrompt, type PrefillEstimator} from './prefill-estimator.js';
import type {PrefixIndex} from './prefix-index.js';
import type {Reservation} from './reservation.js';

/** A candidate backend server with the values that rank it. */
export type ScoredServer = {
	server: ServerState;
	freeTokens: number;
	/** Estimated cached tokens of the prompt. */
	cachedTokens: number;
	/** Expected milliseconds to the first token. */
	firstToken: number;
	/** Weighted milliseconds by which the request would delay others; the smallest `firstToken + delayCost` is chosen. */
	delayCost: number;
};

/** The outcome of a placement. */
export type Placement = {
	/** Absent when the request has to wait. */
	choice: ScoredServer | undefined;
	/** The first few candidates, for the log. */
	candidates: ScoredServer[];
	reason: string;
};

/** The state of a pool as seen by a placement policy. */
export type PoolState = {
	ledger: Ledger;
	prefillEstimator: PrefillEstimator;
	prefixes: PrefixIndex;
	reservation: Reservation | undefined;
	now: number;
};

/** Chooses a server for a request. */
export abstract class PlacementPolicy {
	abstract place(request: AdmitRequest, state: PoolState): Placement;
}

/** Options of first-token placement; each can be turned off to measure its effect. */
export type FirstTokenOptions = {
	/**
	 * Weight of the delay caused to prompts prefilled later on the same server, relative to the request's own delay.
	 *
	 * @default 0.25
	 */
	delayWeight: number;
	/**
	 * Whether a server prefills one long prompt at a time, so that the others wait in the queue, where they can be reordered.
	 *
	 * @default true
	 */
	limitsLongPrefills: boolean;
	/**
	 * Whether cached prefixes are considered.
	 *
	 * @default true
	 */
	usesPrefixes: boolean;
};

/** Default options of first-token placement. */
export const defaultFirstTokenOptions: FirstTokenOptions = {delayWeight: 0.25, limitsLongPrefills: true, usesPrefixes: true};

/** Maximum number of candidates kept for the log. */
const maxLoggedCandidates = 8;

const nothingCached: ReadonlyMap<BackendServerId, number> = new Map();

/** Maximum prefill backlog of a server that can be given another long prompt, in milliseconds. */
const maxLongBacklog = 50;

/** Chooses the server with the smallest expected time to first token, among those with enough free memory. */
export class FirstTokenPlacement extends PlacementPolicy {
	readonly #options: FirstTokenOptions;

	constructor(options: Partial<FirstTokenOptions> = {}) {
		super();
		this.#options = {...defaultFirstTokenOptions, ...options};
	}

	override place(request: AdmitRequest, state: PoolState): Placement {
		const cached = this.#options.usesPrefixes ? state.prefixes.findCached(request.prefixes) : nothingCached;
		const candidates: ScoredServer[] = [];
		let best: ScoredServer | undefined;
		let hasOpen = false;
		for (const server of state.ledger.listOpen()) {
			if (request.excluded.includes(server.id)) {
				continue;
			}

			hasOpen = true;
			const candidate = this.#score(request, server, cached.get(server.id) ?? 0, state);
			if (candidates.length < maxLoggedCandidates) {
				candidates.push(candidate);
			}

			if ((best === undefined || isBetter(candidate, best)) && this.#canPlace(request, candidate, state)) {
				best = candidate;
			}
		}

		const reason = hasOpen ? 'no-room' : 'none-open';
		return {choice: best, candidates, reason: best === undefined ? reason : describeChoice(best)};
	}

	#score(request: AdmitRequest, server: ServerState, cachedTokens: number, state: PoolState): ScoredServer {
		const isDelayingOthers = state.prefillEstimator.estimateLaterBacklog(server.id, request.promptTokens, state.now) > 0;
		return {
			server,
			freeTokens: state.ledger.countFree(server.id),
			cachedTokens,
			firstToken: state.prefillEstimator.predictFirstToken(server, request.promptTokens, cachedTokens, state.now),
			delayCost: isDelayingOthers ? computePrefillTime(server, request.promptTokens - cachedTokens) * this.#options.delayWeight : 0,
		};
	}

	#canPlace(request: AdmitRequest, candidate: ScoredServer, state: PoolState): boolean {
		const {server} = candidate;
		const hasRoom = candidate.freeTokens >= countTokens(request);
		if (!hasRoom || state.reservation?.isDelayedBy(server, request, candidate, state.now)) {
			return false;
		}

		return !this.#options.limitsLongPrefills || !isLongPrompt(request.promptTokens) || state.prefillEstimator.estimateBacklog(server.id, state.now) <= maxLongBacklog;
	}
}

/** Baseline: round robin among servers with enough free memory. */
export class RoundRobinPlacement extends PlacementPolicy {
	#next = 0;

	override place(request: AdmitRequest, state: PoolState): Placement {
		const open = state.ledger.listOpen();
		for (const _ of open) {
			const server = open[this.#next++ % open.length];
			if (!request.excluded.includes(server.id) && state.ledger.countFree(server.id) >= countTokens(request)) {
				return {choice: describeServer(server, state), candidates: [], reason: 'next-in-turn'};
			}
		}

		return {choice: undefined, candidates: [], reason: open.length === 0 ? 'none-open' : 'no-room'};
	}
}

/** Baseline: the server with the fewest requests, among those with enough free memory. */
export class LeastOutstandingPlacement extends PlacementPolicy {
	override place(request: AdmitRequest, state: PoolState): Placement {
		let best: {server: ServerState; count: number} | undefined;
		for (const server of state.ledger.listOpen()) {
			if (request.excluded.includes(server.id) || state.ledger.countFree(server.id) < countTokens(request)) {
				continue;
			}

			const count = state.ledger.listServerGrants(server.id).length;
			if (best === undefined || count < best.count) {
				best = {server, count};
			}
		}

		return {choice: best === undefined ? undefined : describeServer(best.server, state), candidates: [], reason: best === undefined ? 'no-room' : 'fewest-requests'};
	}
}

function describeServer(server: ServerState, state: PoolState): ScoredServer {
	return {
		server, freeTokens: state.ledger.countFree(server.id), cachedTokens: 0, firstToken: 0, delayCost: 0,
	};
}

/** Ties go to the server with the larger share of free memory, so that equal servers fill evenly. */
function isBetter(candidate: ScoredServer, best: ScoredServer): boolean {
	const difference = candidate.firstToken + candidate.delayCost - best.firstToken - best.delayCost;
	if (difference !== 0) {
		return difference < 0;
	}

	return candidate.freeTokens / candidate.server.capacity > best.freeTokens / best.server.capacity;
}

function describeChoice(best: ScoredServer): string {
	return best.cachedTokens > 0 ? 'least-first-token-cached' : 'least-first-token';
}
