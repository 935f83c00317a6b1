/**
 * Servers that have asked this node to send them no requests for a while. Pure.
 *
 * Load pattern: a server with a full queue turns away each request of six nodes within milliseconds, and is the least loaded one
 * for the next.
 *
 * Times are monotonic milliseconds.
 */
import type {BackendServerId} from '../common/index.js';

/** Maximum rest that is granted: without a bound, one wrong answer would take a server out of service for good. */
const maxRest = 300_000;

/** Minimum extension of a known rest that is reported as a change. */
const minReportedExtension = 500;

/** A server that wants no requests for `time` more milliseconds. */
export type RestingServer = {server: BackendServerId; time: number};

/** Resting servers of one service. */
export class RestingServers {
	readonly #restUntil = new Map<BackendServerId, number>();

	/** Records that a server wants no requests for `time` milliseconds; returns whether that is a notable change. An earlier, longer rest still holds. */
	add({server, time}: RestingServer, now: number): boolean {
		this.#prune(now);
		const known = this.#restUntil.get(server) ?? now;
		const until = now + Math.min(maxRest, time);
		if (until <= known) {
			return false;
		}

		this.#restUntil.set(server, until);
		return known === now || until - known >= minReportedExtension;
	}

	/** Remaining rest of a server; 0 when it takes requests. */
	computeRestLeft(server: BackendServerId, now: number): number {
		return Math.max(0, (this.#restUntil.get(server) ?? now) - now);
	}

	/** Lists the servers that rest. */
	list(now: number): RestingServer[] {
		this.#prune(now);
		return [...this.#restUntil].map(([server, until]) => ({server, time: until - now}));
	}

	#prune(now: number): void {
		for (const [server, until] of this.#restUntil) {
			if (until <= now) {
				this.#restUntil.delete(server);
			}
		}
	}
}
