/**
 * Which share of the limits of cold servers a node grants, so that all nodes together stay under what the platform allows in any one second.
 *
 * The allowance is divided: the scheduling node grants the cold rate, a second one that takes over or that only a part of the fleet selects grants
 * a part of what is allowed beyond it, and of the nodes that decide alone one for each server grants another part. Their bursts fill the slack.
 * Nodes need not agree for that, as each part is bounded by what the node itself knows.
 *
 * Pure except for the clock.
 */
import {
	findFirstByRendezvous, type BackendServerId, type BoxId, type Clock, type ServiceName,
} from '../../common/index.js';
import type {ColdAllowance, ColdShare} from '../../planning/index.js';

/** Share of what is allowed beyond the rate for a second scheduling node, and the minimum slack for its burst of one request. */
const second = {excessShare: 0.6, minSlack: 2};

/** Share of what is allowed beyond the rate for the nodes that decide alone, and the minimum slack for a burst of one request there. */
const alone = {excessShare: 0.3, minSlack: 3};

/** Time after its start for which a node grants nothing, in milliseconds: nodes that start together discover each other in about a second, and until then each takes itself for the scheduling node. */
const discoveryTime = 1500;

/**
 * Time for which a node counts after it has asked, in milliseconds, and for which it must have selected this one before it counts.
 *
 * It is the same, so that a node which changes its scheduling node counts at the next one only when it no longer counts at the previous one.
 * Nodes with running plans report once a second.
 */
const settleTime = 1500;

/** Factor on the share of the fleet that asks, as a part of what is allowed beyond the rate: nodes without requests do not ask. */
const askFactor = 0.5;

/** How long the count of asking nodes is cached, in milliseconds: each decision reads it. */
const cacheTime = 100;

/** How long it is cached which node grants alone, while the number of known nodes stays, in milliseconds: a thousand nodes and thirty servers take tens of milliseconds. */
const assignmentLifetime = 10_000;

/** Dependencies of the shares. */
export type ColdSharesParts = {
	clock: Clock;
	allowance: ColdAllowance;
	self: () => BoxId;
	/** Names of the other known nodes, live or not. */
	listKnown: () => BoxId[];
	/** Number of live nodes and of known nodes, both with this one. */
	countSeen: () => number;
	countKnown: () => number;
};

type Askers = {askedAt: Map<BoxId, number>; counted: {at: number; count: number}};

/** Shares of all services. */
export class ColdShares {
	readonly #parts: ColdSharesParts;
	readonly #startedAt: number;
	readonly #askers = new Map<ServiceName, Askers>();
	#assigned = {at: -Infinity, known: 0, servers: new Map<BackendServerId, boolean>()};

	constructor(parts: ColdSharesParts) {
		this.#parts = parts;
		this.#startedAt = parts.clock.readMonotonic();
	}

	/** Records that a node, possibly this one, asks this one, and for how long it has selected it as scheduling node, in milliseconds. */
	recordAsk(service: ServiceName, node: BoxId, selectedFor: number): void {
		const {askedAt} = this.#findAskers(service);
		if (selectedFor >= settleTime) {
			askedAt.set(node, this.#now);
		} else {
			askedAt.delete(node);
		}
	}

	/** Records that a node reports its plans to this one: it still selects it. */
	recordReport(service: ServiceName, node: BoxId): void {
		const {askedAt} = this.#findAskers(service);
		if (this.#now - (askedAt.get(node) ?? -Infinity) < settleTime) {
			askedAt.set(node, this.#now);
		}
	}

	/** Finds the share for a decision; `isPreferred` says whether this node takes itself for the scheduling node when slowness is ignored. */
	findShare(service: ServiceName, isPreferred: boolean): ColdShare {
		const askers = this.#findAskers(service);
		if (this.#now - this.#startedAt < discoveryTime) {
			return () => 0;
		}

		if (!isPreferred) {
			const share = this.#parts.allowance.slack < alone.minSlack ? 0 : this.#excess * alone.excessShare;
			return server => this.#isAssigned(server) ? share : 0;
		}

		const share = this.#computeSchedulerShare(askers);
		return () => share;
	}

	get #now(): number {
		return this.#parts.clock.readMonotonic();
	}

	/** What is allowed beyond the rate, as a share of it. */
	get #excess(): number {
		return Math.min(1, Math.max(0, this.#parts.allowance.overage - 1));
	}

	#computeSchedulerShare(askers: Askers): number {
		const {allowance, countSeen, countKnown} = this.#parts;
		const seenShare = Math.min(1, countSeen() / countKnown());
		const secondShare = allowance.slack < second.minSlack ? 0 : this.#excess * second.excessShare * seenShare;
		const askShare = this.#countAskers(askers) / countKnown() * (1 + (askFactor * this.#excess));
		return Math.max(secondShare, Math.min(1, allowance.overage, seenShare, askShare));
	}

	#countAskers(askers: Askers): number {
		const now = this.#now;
		if (now - askers.counted.at >= cacheTime) {
			for (const [node, askedAt] of askers.askedAt) {
				if (now - askedAt >= settleTime) {
					askers.askedAt.delete(node);
				}
			}

			askers.counted = {at: now, count: askers.askedAt.size};
		}

		return askers.counted.count;
	}

	/** Whether this is the node that grants requests to a server while it decides alone: the first of the known ones in an order of the server's own. */
	#isAssigned(server: BackendServerId): boolean {
		const known = this.#parts.listKnown();
		if (known.length !== this.#assigned.known || this.#now - this.#assigned.at >= assignmentLifetime) {
			this.#assigned = {at: this.#now, known: known.length, servers: new Map()};
		}

		const {servers} = this.#assigned;
		const self = this.#parts.self();
		const isAssigned = servers.get(server) ?? findFirstByRendezvous(server, [self, ...known], name => name) === self;
		servers.set(server, isAssigned);
		return isAssigned;
	}

	#findAskers(service: ServiceName): Askers {
		let askers = this.#askers.get(service);
		if (askers === undefined) {
			askers = {askedAt: new Map(), counted: {at: -Infinity, count: 0}};
			this.#askers.set(service, askers);
		}

		return askers;
	}
}
