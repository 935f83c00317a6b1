/** Placement: which of the open backend servers a request runs on. Pure. */
import type {AdmitRequest} from './messages.js';
import type {Ledger, ServerState} from './ledger.js';

/** A backend server that was weighed, with what decided. */
export type WeighedServer = {
	server: ServerState;
	freeTokens: number;
};

/** The outcome of a placement. */
export type Placement = {
	/** Absent when the request has to wait. */
	choice: ServerState | undefined;
	weighed: WeighedServer[];
	reason: 'most-free-memory' | 'no-room' | 'none-open';
};

/** Chooses the open backend server with the largest share of its memory free, among those with room. */
export function placeRequest(ledger: Ledger, request: AdmitRequest): Placement {
	const candidates = ledger.listOpen().filter(server => !request.excluded.includes(server.id));
	const weighed = candidates.map(server => ({server, freeTokens: ledger.countFree(server.id)}));
	if (weighed.length === 0) {
		return {choice: undefined, weighed, reason: 'none-open'};
	}

	let best: WeighedServer | undefined;
	for (const entry of weighed) {
		if (entry.freeTokens >= request.tokens && (best === undefined || computeFreeShare(entry) > computeFreeShare(best))) {
			best = entry;
		}
	}

	return best === undefined
		? {choice: undefined, weighed, reason: 'no-room'}
		: {choice: best.server, weighed, reason: 'most-free-memory'};
}

function computeFreeShare(weighed: WeighedServer): number {
	return weighed.freeTokens / weighed.server.capacity;
}
