/**
 * A place kept for the request at the head of the queue (EASY backfilling; Lifka, 1995).
 *
 * The server that will have room for it first is named, with the expected time.
 * Others may still run there if they are expected to end before it, or if they
 * leave room for it. One reservation a pool: the head's alone, so that nothing
 * is promised twice.
 */
import type {RequestId} from '../../common/index.js';
import type {Ledger, ServerState} from './ledger.js';
import {countTokens, type AdmitRequest} from './messages.js';

/** What a placement knows of a candidate server. */
type Candidate = {
	cachedTokens: number;
	freeTokens: number;
};

/** A place kept for one request. */
export class Reservation {
	/**
	 * `at`: monotonic time at which there is expected to be room, in milliseconds.
	 * `spare`: tokens that will then be free beyond what the request needs.
	 */
	constructor(
		readonly requestId: RequestId,
		readonly server: ServerState,
		readonly at: number,
		readonly spareTokens: number,
	) {}

	/** Whether another request on a server would delay the one that the place is kept for. */
	isDelayedBy(server: ServerState, request: AdmitRequest, candidate: Candidate, now: number): boolean {
		if (server.id !== this.server.id || request.requestId === this.requestId) {
			return false;
		}

		return countTokens(request) > this.spareTokens && now + estimateHoldTime(server, request, candidate.cachedTokens) > this.at;
	}
}

/** Expected milliseconds for which a request holds its memory on a server. */
export function estimateHoldTime(server: ServerState, request: AdmitRequest, cachedTokens: number): number {
	const prefillTime = Math.max(0, request.promptTokens - cachedTokens) / server.prefillRate * 1000;
	return prefillTime + (request.outputTokens * server.tokenInterval);
}

/** Finds the server that will have room for a request first. */
export function reserveServer(request: AdmitRequest, ledger: Ledger, now: number): Reservation | undefined {
	let best: Reservation | undefined;
	for (const server of ledger.listOpen()) {
		if (request.excluded.includes(server.id) || server.capacity < countTokens(request)) {
			continue;
		}

		const reservation = findEarliestStart(request, server, ledger, now);
		if (reservation !== undefined && (best === undefined || reservation.at < best.at)) {
			best = reservation;
		}
	}

	return best;
}

function findEarliestStart(request: AdmitRequest, server: ServerState, ledger: Ledger, now: number): Reservation | undefined {
	const releases = ledger.listServerGrants(server.id)
		.map(held => ({at: Math.max(now, held.since + held.grant.expectedHold), tokens: held.grant.tokens}))
		.sort((left, right) => left.at - right.at);
	let free = ledger.countFree(server.id);
	const needed = countTokens(request);
	if (free >= needed) {
		return new Reservation(request.requestId, server, now, free - needed);
	}

	for (const nextRelease of releases) {
		free += nextRelease.tokens;
		if (free >= needed) {
			return new Reservation(request.requestId, server, nextRelease.at, free - needed);
		}
	}

	return undefined;
}
