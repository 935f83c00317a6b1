/**
 * Divides the servers of a pool between short requests and long prompts. Pure.
 *
 * Servers are ordered by id, which is the same on every node: long prompts are prefilled at the start of the order, short requests are packed
 * from its end.
 */
import type {EngineProfile} from '../routing/index.js';
import type {PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';

/** Share of a server's slots that short requests fill before the next server is used, while there are no long prompts, and the number of spare servers: prefills collide less. */
const relaxedFill = 0.5;
const relaxedSpareServers = 1;

/** The same while long prompts leave room: an idle server can take a prefill of any length. Lower and higher values earned less in replays. */
const normalFill = 0.6;

/** The same while long prompts need the servers: a step slows by a few hundredths with each decoding request, and a burst still fits. */
const maxFill = 0.95;

/** Planned prefill utilisation of servers for long prompts: the rest is for decode passes and variation. */
const prefillUtilisation = 0.6;

/** Minimum share of the servers for either kind while both are in demand. */
const minGroupShare = 0.1;

/** How long a request counts as demand, in milliseconds. */
const demandWindow = 10_000;

/** The servers available to each kind of request. */
export type ServerGroups = {forLong: ServerLoad[]; forShort: ServerLoad[]};

/** Divides servers by demand. Undivided, decoding requests spread over all servers and leave none that can absorb a long prefill. */
export class ServerPartition {
	readonly #longPrompts: Array<{at: number; prefillTime: number}> = [];
	#shortCount = 0;

	/** Short requests in progress. */
	get shortCount(): number {
		return this.#shortCount;
	}

	/** Counts a short request that starts. */
	addShort(): void {
		this.#shortCount++;
	}

	/** Counts a short request that has ended. */
	removeShort(): void {
		this.#shortCount--;
	}

	/** Records a long prompt on arrival, not when it asks again. */
	recordLong(request: PlanRequest, prefillTime: number, now: number): void {
		if (request.waited === 0) {
			this.#longPrompts.push({at: now, prefillTime});
		}
	}

	/**
	 * Divides all servers by their fixed order, so that a server in temporary backoff does not shift the boundary.
	 *
	 * A kind without usable servers gets those of the other.
	 */
	divide(all: ServerLoad[], usable: ServerLoad[], engine: EngineProfile, now: number): ServerGroups {
		const splitIndex = Math.max(1, all.length - this.#countShortServers(all.length, engine, now));
		const longServers = new Set(all.sort(compareServers).slice(0, splitIndex));
		const forLong = usable.filter(load => longServers.has(load));
		const forShort = usable.filter(load => !longServers.has(load));
		return {
			forLong: (forLong.length > 0 ? forLong : usable).sort(compareServers),
			forShort: (forShort.length > 0 ? forShort : usable).sort(compareServers),
		};
	}

	/** Number of servers kept busy by the long prompts of the window. */
	#countLongServers(now: number): number {
		while (this.#longPrompts.length > 0 && this.#longPrompts[0].at < now - demandWindow) {
			this.#longPrompts.shift();
		}

		const work = this.#longPrompts.reduce((sum, prompt) => sum + prompt.prefillTime, 0);
		return Math.ceil(work / demandWindow / prefillUtilisation);
	}

	/** Number of servers for short requests: they are filled more densely the more long prompts there are. */
	#countShortServers(count: number, engine: EngineProfile, now: number): number {
		const writers = this.#shortCount + 1;
		const longServers = this.#countLongServers(now);
		const preferred = longServers === 0
			? Math.ceil(writers / (engine.slots * relaxedFill)) + relaxedSpareServers
			: Math.ceil(writers / (engine.slots * normalFill));
		const fewest = Math.ceil(writers / (engine.slots * maxFill));
		const minimum = Math.ceil(count * minGroupShare);
		const remaining = count - (longServers === 0 ? 0 : Math.max(longServers, minimum));
		const wanted = Math.max(Math.min(preferred, remaining), fewest, minimum);
		return Math.max(1, Math.min(wanted, longServers === 0 ? count : count - minimum));
	}
}

/** The fixed order of servers. */
export function compareServers(left: ServerLoad, right: ServerLoad): number {
	return left.server.id < right.server.id ? -1 : 1;
}
