/**
 * Reservation of memory for the request at the head of the queue (EASY backfilling; Lifka, 1995).
 *
 * Other requests may run on the reserved server if they are expected to end before the reserved time, or if they leave
 * enough memory. A pool has one reservation at a time, so that no memory is reserved twice.
 */
import type {RequestId} from '../../common/index.js';
import type {Ledger, ServerState} from './ledger.js';
import {countTokens, type AdmitRequest} from './messages.js';

/** State of a candidate server during placement. */
type Candidate = {
	cachedTokens: number;
	freeTokens: number;
};

/** Memory reserved for one request on one server. */
export class Reservation {
	/**
	 * `at`: monotonic time at which enough memory is expected to be free, in milliseconds.
	 * `spareTokens`: tokens free at that time beyond what the request needs.
	 */
	constructor(
		readonly requestId: RequestId,
		readonly server: ServerState,
		readonly at: number,
		readonly spareTokens: number,
	) {}

	/** Whether placing another request on a server would delay the reserved one. */
	isDelayedBy(server: ServerState, request: AdmitRequest, candidate: Candidate, now: number): boolean {
		if (server.id !== this.server.id || request.requestId === this.requestId) {
			return false;
		}

		return countTokens(request) > this.spareTokens && now + estimateHoldTime(server, request, candidate.cachedTokens) > this.at;
	}
}

/** Estimates how long a request holds its memory on a server, in milliseconds. */
export function estimateHoldTime(server: ServerState, request: AdmitRequest, cachedTokens: number): number {
	const prefillTime = Math.max(0, request.promptTokens - cachedTokens) / server.prefillRate * 1000;
	return prefillTime + (request.outputTokens * server.tokenInterval);
}

/** Reserves the server that is expected to have enough free memory for a request first. */
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
