/**
 * Requests whose answers failed lately: one that several servers fail says nothing about any of them. Pure.
 *
 * Load pattern: callers repeat a request that no server can answer, and each try takes another server.
 */
import type {BackendServerId} from '../common/index.js';

/** Number of requests that are remembered, and for how long, in milliseconds. */
const maxRequests = 256;
const lifetime = 30_000;

/** Servers that failed a request, and whether their failures count against them. */
type FailedRequest = {at: number; servers: Set<BackendServerId>; isCounted: boolean};

/** What a failed answer means: whether it counts against its server, and the servers against which an earlier one no longer does. */
export type FailureVerdict = {isCounted: boolean; cleared: BackendServerId[]};

/** Failed requests of one service. */
export class FailedRequests {
	readonly #requests = new Map<string, FailedRequest>();

	/** Records that a server failed a request, which other servers may have failed before. */
	recordFailure(request: string, server: BackendServerId, now: number, failedAt: BackendServerId[] = []): FailureVerdict {
		const known = this.#find(request, now) ?? {at: now, servers: new Set<BackendServerId>(), isCounted: true};
		const earlier = [...known.servers].filter(other => other !== server);
		const isCounted = earlier.length === 0 && failedAt.every(other => other === server);
		const cleared = !isCounted && known.isCounted ? earlier : [];
		known.servers.add(server);
		this.#requests.delete(request);
		this.#requests.set(request, {at: now, servers: known.servers, isCounted});
		if (this.#requests.size > maxRequests) {
			this.#requests.delete(this.#requests.keys().next().value!);
		}

		return {isCounted, cleared};
	}

	/** Records that a server answered a request: those that failed it are at fault. */
	recordSuccess(request: string): void {
		this.#requests.delete(request);
	}

	#find(request: string, now: number): FailedRequest | undefined {
		const known = this.#requests.get(request);
		return known !== undefined && now - known.at <= lifetime ? known : undefined;
	}
}
