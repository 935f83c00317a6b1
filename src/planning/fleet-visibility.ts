/**
 * How much of the fleet a scheduling node sees, and how it decides while it sees little. Pure.
 *
 * Load pattern: all nodes restart together and their callers return at once. For about a second each node decides alone and sees all servers
 * as free. If all nodes order the servers alike, they overload the same few: of 680 prompts that 77 nodes placed this way, 480 went to six of
 * 60 servers, which rejected most of them. A different order for each request avoids that.
 */
import type {RequestId} from '../common/index.js';
import type {PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';
import {compareServers, type ServerGroups} from './server-partition.js';

/** Number of nodes whose plans a scheduling node sees, including its own, and number of nodes that it knows of. A node that decides because no other one answers sees only its own plans. */
export type FleetVisibility = {seen: number; known: number};

/** Visibility of a node that decides for the whole fleet. */
export const fullVisibility: FleetVisibility = {seen: 1, known: 1};

/** Share of the fleet below which visibility is limited: other nodes place most requests. */
const minVisibleShare = 0.5;

/** Share of the servers that prefill long prompts while visibility is limited. A third earned more in replays than a half, two thirds or no division. */
const longPromptShare = 1 / 3;

/** Maximum time for which long prompts wait after visibility became limited, in milliseconds, and the time without such a decision after which the wait starts anew: 77 nodes that start together discover each other in about this time. */
const maxWait = 1000;

/** Share of its objective above which prefill by one server is too slow to start while visibility is limited: it needs several servers, and their load is unknown. */
const slowPrefillShare = 0.5;

/** Time after which such a waiting prompt asks again, in milliseconds: about one pass. */
export const visibilityRetryDelay = 60;

/** How a planner decides while its node sees little of the fleet. */
export class LimitedVisibility {
	#limitedSince = -Infinity;
	#updatedAt = -Infinity;
	#isLimited = false;

	/** Whether other nodes place most requests. */
	get isLimited(): boolean {
		return this.#isLimited;
	}

	/** Updates the visibility; called for each request. */
	update({seen, known}: FleetVisibility, now: number): void {
		this.#isLimited = seen < known * minVisibleShare;
		if (!this.#isLimited) {
			return;
		}

		if (now - this.#updatedAt > maxWait) {
			this.#limitedSince = now;
		}

		this.#updatedAt = now;
	}

	/** Whether a long prompt waits until the node sees more of the fleet. The wait is bounded, since a node may stay alone. */
	shouldWait({objective}: PlanRequest, prefillTime: number, now: number): boolean {
		return this.#isLimited && now - this.#limitedSince < maxWait && prefillTime > objective * slowPrefillShare;
	}
}

/** Divides servers between long and short prompts while the demand is unknown. Each group starts at a different server for each request, so that nodes which see the same servers free do not all choose the first one. */
export function divideWithoutDemand(usable: ServerLoad[], requestId: RequestId): ServerGroups {
	const splitIndex = Math.ceil(usable.length * longPromptShare);
	const ordered = [...usable].sort(compareServers);
	const forLong = rotateServers(ordered.slice(0, splitIndex), requestId);
	const forShort = rotateServers(ordered.slice(splitIndex), requestId);
	return {forLong, forShort: forShort.length > 0 ? forShort : forLong};
}

/** The servers in their fixed order, rotated by a hash of the request id. */
export function rotateServers(loads: ServerLoad[], requestId: RequestId): ServerLoad[] {
	const start = Math.floor(hashToShare(requestId) * loads.length);
	return [...loads.slice(start), ...loads.slice(0, start)];
}

/** Modulus and factor of a Lehmer generator: products stay exact in a double. */
const modulus = 2_147_483_647;
const factor = 48_271;

/** A pseudo-random share from 0 to 1, the same for the same text. */
function hashToShare(text: string): number {
	let state = 1;
	for (const character of text) {
		state = ((state + character.codePointAt(0)!) * factor) % modulus;
	}

	return ((state * factor) % modulus) / modulus;
}
