/** Servers that are kept free for requests that may end them, one request at a server. Pure. */
import type {BackendServerId, RequestFingerprint, PlanId} from '../common/index.js';
import {findMin} from './find-min.js';
import type {ServerLoad} from './server-load.js';

/** One in so many servers is kept free at most, and never the only one. */
const serversForTrial = 6;
const leastServers = 2;

/** Time after the last ask for which a server is kept free for a request, in milliseconds: a few asks. */
const keptFor = 300;

/** Time after which a request that waits for its server asks again, in milliseconds. */
export const trialRetryDelay = 40;

/** A server that is kept free for a request, or runs it. */
type Trial = {fingerprint: RequestFingerprint; askedAt: number; planId?: PlanId};

/** Trials of one service. */
export class IsolationTrials {
	readonly #trials = new Map<BackendServerId, Trial>();

	/** Whether a server is kept for a trial: nothing else goes there. */
	isReserved(server: BackendServerId): boolean {
		return this.#trials.has(server);
	}

	/** The server that a request may have for itself; undefined while there is none. `all` counts the servers of the service. */
	findServer(fingerprint: RequestFingerprint, usable: ServerLoad[], all: number, now: number): ServerLoad | undefined {
		this.#prune(now);
		const kept = this.#findKept(fingerprint);
		if (kept !== undefined) {
			const [server, trial] = kept;
			trial.askedAt = now;
			const board = usable.find(candidate => candidate.server.id === server);
			// One try of a request at a time, and none beside others.
			return trial.planId === undefined && board?.taskCount === 0 ? board : undefined;
		}

		const free = usable.filter(board => !this.#trials.has(board.server.id));
		if (all < leastServers || free.length === 0 || this.#trials.size >= Math.max(1, Math.floor(all / serversForTrial))) {
			return undefined;
		}

		const board = findMin(free, candidate => candidate.taskCount)!;
		this.#trials.set(board.server.id, {fingerprint, askedAt: now});
		return board.taskCount === 0 ? board : undefined;
	}

	/** Notes the plan that runs at the server kept for it. */
	recordStart(server: BackendServerId, planId: PlanId): void {
		const trial = this.#trials.get(server);
		if (trial !== undefined) {
			trial.planId = planId;
		}
	}

	/** Frees the server of a plan that has ended. */
	release(planId: PlanId): void {
		for (const [server, trial] of this.#trials) {
			if (trial.planId === planId) {
				this.#trials.delete(server);
			}
		}
	}

	#findKept(fingerprint: RequestFingerprint): [BackendServerId, Trial] | undefined {
		return [...this.#trials].find(([, trial]) => trial.fingerprint === fingerprint);
	}

	/** A request that is not asked for any more needs no server. */
	#prune(now: number): void {
		for (const [server, {askedAt, planId}] of this.#trials) {
			if (planId === undefined && now - askedAt > keptFor) {
				this.#trials.delete(server);
			}
		}
	}
}
