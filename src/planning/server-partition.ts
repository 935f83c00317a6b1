/**
 * How the servers of a pool are divided between short requests and long prompts. Pure.
 *
 * The servers stand in the order of their ids, which every node knows alike: long prompts
 * are read from its beginning, short ones are packed from its end.
 */
import type {EngineProfile} from '../routing/index.js';
import type {PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';

/** Share of a server's places that short requests fill before the next server is opened to them, while no long prompt is asked for: their reads collide less. One server more is open then. */
const loosePacking = 0.5;
const looseSpare = 1;

/**
 * The same while long prompts are asked for and leave room: a server on which nobody writes can take a read of any length. Filled to 0.5 and with a
 * server more, 160 replayed days bring 0.724 of the worth for 0.730, and 0.742 of what the long prompts are worth for 0.748; filled to 0.7 0.728.
 */
const closePacking = 0.6;

/** The same while long prompts need the servers: a step grows by a few hundredths with each writer, and a burst still finds a place. */
const tightPacking = 0.95;

/** Share of their time for which servers of long prompts are planned to read: the rest is passes of writers and chance. */
const readUtilisation = 0.6;

/** Least share of the servers for either kind while both are asked for. */
const leastShare = 0.1;

/** How long a kind of request counts as asked for after the last one, in milliseconds. */
const demandMemory = 10_000;

/** The servers open to each kind of request. */
export type ServerGroups = {forLong: ServerLoad[]; forShort: ServerLoad[]};

/** Divides servers by what is asked for. Undivided, 80 replayed days bring 0.801 of the worth for 0.823: writers everywhere leave no server that bears a long read. */
export class ServerPartition {
	readonly #longReads: Array<{at: number; readTime: number}> = [];
	#shortWriters = 0;

	/** Short requests that have a place. */
	get shortCount(): number {
		return this.#shortWriters;
	}

	/** Notes a short request that has a place. */
	addShort(): void {
		this.#shortWriters++;
	}

	/** Notes that a short request has ended. */
	removeShort(): void {
		this.#shortWriters--;
	}

	/** A request is demand when it comes, not each time it asks again. */
	recordLong(request: PlanRequest, readTime: number, now: number): void {
		if (request.waited === 0) {
			this.#longReads.push({at: now, readTime});
		}
	}

	/**
	 * Divides the servers by their fixed order, over all of them: one that rests for a moment must not move the border.
	 *
	 * A kind whose servers all rest gets the others.
	 */
	divide(all: ServerLoad[], usable: ServerLoad[], engine: EngineProfile, now: number): ServerGroups {
		const border = Math.max(1, all.length - this.#countShortServers(all.length, engine, now));
		const longServers = new Set(all.sort(compareServers).slice(0, border));
		const forLong = usable.filter(board => longServers.has(board));
		const forShort = usable.filter(board => !longServers.has(board));
		return {
			forLong: (forLong.length > 0 ? forLong : usable).sort(compareServers),
			forShort: (forShort.length > 0 ? forShort : usable).sort(compareServers),
		};
	}

	/** Servers that the long prompts of the last seconds keep reading. */
	#countLongServers(now: number): number {
		while (this.#longReads.length > 0 && this.#longReads[0].at < now - demandMemory) {
			this.#longReads.shift();
		}

		const work = this.#longReads.reduce((sum, read) => sum + read.readTime, 0);
		return Math.ceil(work / demandMemory / readUtilisation);
	}

	/** Servers for short requests: filled the more the more long prompts there are. */
	#countShortServers(count: number, engine: EngineProfile, now: number): number {
		const writers = this.#shortWriters + 1;
		const longServers = this.#countLongServers(now);
		const roomy = longServers === 0
			? Math.ceil(writers / (engine.slots * loosePacking)) + looseSpare
			: Math.ceil(writers / (engine.slots * closePacking));
		const tight = Math.ceil(writers / (engine.slots * tightPacking));
		const least = Math.ceil(count * leastShare);
		const left = count - (longServers === 0 ? 0 : Math.max(longServers, least));
		const wanted = Math.max(Math.min(roomy, left), tight, least);
		return Math.max(1, Math.min(wanted, longServers === 0 ? count : count - least));
	}
}

/** The fixed order of servers. */
export function compareServers(left: ServerLoad, right: ServerLoad): number {
	return left.server.id < right.server.id ? -1 : 1;
}
