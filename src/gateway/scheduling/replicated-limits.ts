/** Request limits of one service's servers, as one node takes part in them: reports what answers name and replicates what it knows. */
import type {BackendServerId, BoxId} from '../../common/index.js';
import type {ReportedLimit} from '../../planning/index.js';
import type {ServiceParts} from './service-parts.js';

/** Time between two reports of the same limit to the deciding node, in milliseconds. */
const reportInterval = 500;

/** Limits of one service's servers. */
export class ReplicatedLimits {
	readonly #parts: ServiceParts;
	readonly #reportedAt = new Map<BackendServerId, number>();

	constructor(parts: ServiceParts) {
		this.#parts = parts;
	}

	/** Notes the limit of an answer, in requests a second, undefined when it names none; returns a report that is due to the deciding node. */
	recordAnswer(server: BackendServerId, requestsPerSecond: number | undefined, self: BoxId): ReportedLimit | undefined {
		if (requestsPerSecond === undefined && this.#parts.planner.limits.findRate(server) === undefined) {
			return undefined;
		}

		const limit = {server, requestsPerSecond, age: 0};
		const now = this.#parts.clock.readMonotonic();
		const isChanged = this.merge(limit, self);
		if (!isChanged && now - (this.#reportedAt.get(server) ?? -Infinity) < reportInterval) {
			return undefined;
		}

		this.#reportedAt.set(server, now);
		return limit;
	}

	/** Takes a report; returns whether it changed the limit. */
	merge(limit: ReportedLimit, origin: BoxId): boolean {
		const {service, planner, clock, logger} = this.#parts;
		const before = planner.limits.findRate(limit.server);
		const isChanged = planner.limits.update(limit, clock.readMonotonic());
		if (isChanged) {
			logger.info({
				event: 'server_limit', service, ...limit, before, origin,
			}, limit.requestsPerSecond === undefined ? 'a backend server has lifted its request limit' : 'a backend server names a request limit');
		}

		return isChanged;
	}

	/** All limits, for other nodes. */
	describe(): ReportedLimit[] {
		return this.#parts.planner.limits.describe(this.#parts.clock.readMonotonic());
	}

	/** Sends the limits to all nodes: any of them may have to decide. */
	replicate(): void {
		const {service, updates: news} = this.#parts;
		const limits = this.describe();
		if (limits.length > 0) {
			news.sendToSuccessors(service, true, {limits});
		}
	}

	/** Forgets when limits of servers were reported that are gone. */
	prune(): void {
		for (const server of this.#reportedAt.keys()) {
			if (!this.#parts.state.hasServer(server)) {
				this.#reportedAt.delete(server);
			}
		}
	}
}
