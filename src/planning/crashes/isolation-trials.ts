/** Servers reserved for requests that may crash them, one request of each suspect trait at a time. Pure. */
import type {BackendServerId, CrashTrait, PlanId} from '../../common/index.js';
import {findMin} from '../find-min.js';
import type {ServerLoad} from '../server-load.js';

/** At most one in `serversPerTrial` servers is reserved, and none where there are fewer than `minServers`. */
const serversPerTrial = 6;
const minServers = 2;

/** Time without another ask after which a request's reservation ends, in milliseconds: a few retry delays. */
const reservationTimeout = 300;

/** Time after which a request that waits for its server asks again, in milliseconds. */
export const trialRetryDelay = 40;

/** A server that is reserved for a request or runs it. */
type IsolationTrial = {trait: CrashTrait; lastAskedAt: number; planId?: PlanId};

/** Isolation trials of one service. */
export class IsolationTrials {
	readonly #trials = new Map<BackendServerId, IsolationTrial>();

	/** Whether a server is reserved: it takes no other requests. */
	isReserved(server: BackendServerId): boolean {
		return this.#trials.has(server);
	}

	/** The trait that a server is reserved for; undefined when it is not. */
	findTrait(server: BackendServerId): CrashTrait | undefined {
		return this.#trials.get(server)?.trait;
	}

	/** The reserved server, once it is idle; undefined until then. `serverCount` counts all servers of the service. */
	findServer(trait: CrashTrait, usable: ServerLoad[], serverCount: number, now: number): ServerLoad | undefined {
		this.#prune(now);
		const reserved = this.#findReserved(trait);
		if (reserved !== undefined) {
			const [server, trial] = reserved;
			trial.lastAskedAt = now;
			const load = usable.find(candidate => candidate.server.id === server);
			// One attempt of a request at a time, on an otherwise idle server.
			return trial.planId === undefined && load?.taskCount === 0 ? load : undefined;
		}

		const free = usable.filter(load => !this.#trials.has(load.server.id));
		if (serverCount < minServers || free.length === 0 || this.#trials.size >= Math.max(1, Math.floor(serverCount / serversPerTrial))) {
			return undefined;
		}

		const load = findMin(free, candidate => candidate.taskCount)!;
		this.#trials.set(load.server.id, {trait, lastAskedAt: now});
		return load.taskCount === 0 ? load : undefined;
	}

	/** Records the plan that runs on its reserved server. */
	recordStart(server: BackendServerId, planId: PlanId): void {
		const trial = this.#trials.get(server);
		if (trial !== undefined) {
			trial.planId = planId;
		}
	}

	/** Releases the server of a plan that has ended. */
	release(planId: PlanId): void {
		for (const [server, trial] of this.#trials) {
			if (trial.planId === planId) {
				this.#trials.delete(server);
			}
		}
	}

	#findReserved(trait: CrashTrait): [BackendServerId, IsolationTrial] | undefined {
		return [...this.#trials].find(([, trial]) => trial.trait === trait);
	}

	/** Drops the reservations of requests that no longer ask. */
	#prune(now: number): void {
		for (const [server, {lastAskedAt, planId}] of this.#trials) {
			if (planId === undefined && now - lastAskedAt > reservationTimeout) {
				this.#trials.delete(server);
			}
		}
	}
}
