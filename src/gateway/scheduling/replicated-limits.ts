/** Request limits announced by the servers of one service: reports them to the scheduling node and replicates them. */
import type {BackendServerId, BoxId} from '../../common/index.js';
import type {ReportedLimit} from '../../planning/index.js';
import type {ServiceParts} from './service-parts.js';

/** Minimum time between two reports of the same limit to the scheduling node, in milliseconds. */
const reportInterval = 500;

/** Request limits of the servers of one service on this node. */
export class ReplicatedLimits {
	readonly #parts: ServiceParts;
	readonly #reportedAt = new Map<BackendServerId, number>();

	constructor(parts: ServiceParts) {
		this.#parts = parts;
	}

	/** Records the limit in a response, in requests per second, or undefined if it has none; returns a report if one is due to the scheduling node. */
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

	/** Merges a reported limit; returns whether it changed. */
	merge(limit: ReportedLimit, origin: BoxId): boolean {
		const {service, planner, clock, logger} = this.#parts;
		const before = planner.limits.findRate(limit.server);
		const isChanged = planner.limits.update(limit, clock.readMonotonic());
		if (isChanged) {
			logger.info({
				event: 'server_limit', service, ...limit, before, origin,
			}, limit.requestsPerSecond === undefined ? 'a backend server lifted its request limit' : 'a backend server announced a request limit');
		}

		return isChanged;
	}

	/** Describes all limits, for other nodes. */
	describe(): ReportedLimit[] {
		return this.#parts.planner.limits.describe(this.#parts.clock.readMonotonic());
	}

	/** Sends the limits to all nodes: any of them may have to schedule requests. */
	replicate(): void {
		const {service, updates} = this.#parts;
		const limits = this.describe();
		if (limits.length > 0) {
			updates.sendToSuccessors(service, true, {limits});
		}
	}

	/** Removes the report times of servers that no longer exist. */
	prune(): void {
		for (const server of this.#reportedAt.keys()) {
			if (!this.#parts.state.hasServer(server)) {
				this.#reportedAt.delete(server);
			}
		}
	}
}
