/**
 * How much of the fleet a deciding node sees, and how it decides while it sees little. Pure.
 *
 * Load pattern: all nodes start again together and the callers of before come back at once.
 * For about a second each node decides alone, by a board on which all servers look free. If all
 * of them order the servers alike, they pack the same few: of 680 prompts that 77 nodes placed
 * so 480 went to six of 60 servers, which turned most of them away. Of 60 replayed days with
 * such a restart 0.814 of the worth is brought, 0.748 with one order for all.
 */
import type {RequestId} from '../common/index.js';
import type {PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';
import {compareServers, type ServerGroups} from './server-partition.js';

/** Nodes of the fleet whose plans a deciding node sees, itself among them, and those that it knows of. A node that decides because no other one answers sees its own alone. */
export type FleetVisibility = {seen: number; known: number};

/** The sight of a node that decides for all. */
export const fullVisibility: FleetVisibility = {seen: 1, known: 1};

/** Share of the fleet below which a node sees little: others place most of what runs. */
const seeingShare = 0.5;

/** Share of the servers on which a node that sees little reads long prompts. Replayed days bring 0.814 with a third, 0.808 undivided, 0.809 with half, 0.800 with two thirds. */
const longShare = 1 / 3;

/** How long prompts wait at most after a node began to see little, in milliseconds, and the time without such a decision after which it begins anew: in about this time 77 nodes that started together have found each other. */
const longestWait = 1000;

/** Share of its objective from which a read by one server is too long to be begun by a node that sees little: it needs several, and what others read there is unknown. */
const lateReadShare = 0.5;

/** Time after which a prompt that waits so asks again, in milliseconds: about a pass. */
export const visibilityRetryDelay = 60;

/** How a planner decides while its node sees little of the fleet. */
export class LimitedVisibility {
	#since = -Infinity;
	#noticedAt = -Infinity;
	#isDim = false;

	/** Whether others place most of what runs. */
	get isLimited(): boolean {
		return this.#isDim;
	}

	/** Notes what the node sees; called for each request. */
	update({seen, known}: FleetVisibility, now: number): void {
		this.#isDim = seen < known * seeingShare;
		if (!this.#isDim) {
			return;
		}

		if (now - this.#noticedAt > longestWait) {
			this.#since = now;
		}

		this.#noticedAt = now;
	}

	/** Whether a long prompt waits until more of the fleet is seen: without it replayed days bring 0.784 for 0.808. A node that stays alone doesn't wait for ever. */
	shouldWait({objective}: PlanRequest, readTime: number, now: number): boolean {
		return this.#isDim && now - this.#since < longestWait && readTime > objective * lateReadShare;
	}
}

/** Divides servers between long and short prompts where no demand is known, each group beginning at another server for each request: nodes that see the same servers free do not all take the first. */
export function divideWithoutDemand(usable: ServerLoad[], requestId: RequestId): ServerGroups {
	const border = Math.ceil(usable.length * longShare);
	const ordered = [...usable].sort(compareServers);
	const forLong = rotateServers(ordered.slice(0, border), requestId);
	const forShort = rotateServers(ordered.slice(border), requestId);
	return {forLong, forShort: forShort.length > 0 ? forShort : forLong};
}

/** The servers in their order, beginning at another one for each request. */
export function rotateServers(boards: ServerLoad[], requestId: RequestId): ServerLoad[] {
	const first = Math.floor(computeShare(requestId) * boards.length);
	return [...boards.slice(first), ...boards.slice(0, first)];
}

/** Modulus and factor of Lehmer's generator: products stay exact in a double. */
const modulus = 2_147_483_647;
const factor = 48_271;

/** A share from 0 to 1 that looks like chance and is the same for the same text. */
function computeShare(text: string): number {
	let state = 1;
	for (const letter of text) {
		state = ((state + letter.codePointAt(0)!) * factor) % modulus;
	}

	return ((state * factor) % modulus) / modulus;
}
