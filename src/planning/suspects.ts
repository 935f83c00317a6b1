/**
 * Which requests may end the servers that run them, from what ran at servers when they ended. Pure but for the clock's time, which is passed in.
 *
 * A request is known by a digest of its content: its callers send it again under new ids. All that ran at a server when
 * it ended come under suspicion alike, each told by the node that carries it. Whoever was there by chance is answered at
 * the next server; after two ends a request runs alone at a server, after three it is refused.
 *
 * Load pattern: fifteen requests of eight hundred, within twenty seconds, end each server that runs them, beside ten others each.
 */
import type {BackendServerId, ContentDigest} from '../common/index.js';

/** Ends from which a request runs alone, and from which it is refused. */
const endsToIsolate = 2;
const endsToRefuse = 3;

/** How long an end counts, in milliseconds: what ends servers is not sent again within minutes by callers who were told so. */
const endMemory = 600_000;

/** Servers that end within this time of each other are taken for the loss of a rack, a zone or power, in milliseconds, when they are so many. */
const togetherWithin = 250;
const togetherCount = 3;

/** What such an end counts: three of them bring nobody under suspicion. */
const togetherWeight = 0.5;

/** What the end of a server counts that ran nothing else. */
export const aloneWeight = 1.5;

/** Requests that are remembered, at most; the oldest are forgotten. */
const mostContents = 4096;

/** Ends that are told of one request, at most. */
const mostTold = 4;

/** An end of a server under a request; `age` in milliseconds, `weight` is less than 1 when the request ran at many servers, and more when it ran alone. */
export type ServerEnd = {server: BackendServerId; age: number; weight: number};

/** How far a request is trusted. */
export type Trust = {kind: 'free' | 'watched' | 'alone'; ends: number} | {kind: 'refused'; ends: number; refusedFor: number};

/** Reports of a server's crash within this time of its first one are of the same crash, in milliseconds; a server takes longer to restart and crash again. */
const sameCrashWithin = 5000;

/** A crash of a server, and what it ran. */
type Crash = {server: BackendServerId; at: number; running: Set<ContentDigest>};

/** Requests under which servers have ended. */
export class Suspects {
	/** The crashes of each request, with their weights. */
	readonly #contents = new Map<ContentDigest, Map<Crash, number>>();
	readonly #crashes = new Map<BackendServerId, Crash[]>();

	/** How many requests are remembered. */
	get size(): number {
		return this.#contents.size;
	}

	/** Notes that a server ended while it ran a request, and what that counts; returns whether that was not known. */
	noteEnd(server: BackendServerId, content: ContentDigest, weight: number, now: number): boolean {
		const isNew = this.#add(content, this.#findCrash(server, now), weight);
		this.#prune(now);
		return isNew;
	}

	/** Notes that a server has answered a request: it was there by chance when others ended. Requests that are alike, as a short question of many callers is, would else be refused for all. */
	clear(content: ContentDigest): void {
		this.#contents.delete(content);
	}

	/** Whether ends are known of a request. */
	has(content: ContentDigest): boolean {
		return this.#contents.has(content);
	}

	/** Takes what another node knows of a request. */
	learn(content: ContentDigest, ends: ServerEnd[], now: number): void {
		for (const {server, age, weight} of ends) {
			this.#add(content, this.#findCrash(server, now - age), weight);
		}

		this.#prune(now);
	}

	/** What is known of a request, newest first, to be told to others. */
	describe(content: ContentDigest, now: number): ServerEnd[] {
		return [...this.#contents.get(content) ?? []]
			.map(([{server, at}, weight]) => ({server, age: Math.round(now - at), weight}))
			.filter(({age}) => age < endMemory)
			.sort((left, right) => left.age - right.age)
			.slice(0, mostTold);
	}

	/** Requests with more than one crash, to be told to a node that has started. */
	describeRepeated(now: number): Array<[ContentDigest, ServerEnd[]]> {
		return this.describeAll(now).filter(([, ends]) => ends.length > 1);
	}

	/** All that is known, to be told to another node. */
	describeAll(now: number): Array<[ContentDigest, ServerEnd[]]> {
		return [...this.#contents.keys()]
			.map((content): [ContentDigest, ServerEnd[]] => [content, this.describe(content, now)])
			.filter(([, ends]) => ends.length > 0);
	}

	/** How far a request is trusted. */
	judge(content: ContentDigest | undefined, now: number): Trust {
		const ends = content === undefined ? undefined : this.#contents.get(content);
		if (ends === undefined) {
			return {kind: 'free', ends: 0};
		}

		const counted = [...ends].filter(([{at}]) => now - at < endMemory);
		const weight = counted.reduce((sum, [crash, own]) => sum + this.#weigh(crash, own), 0);
		const known = {ends: counted.length};
		if (weight > endsToRefuse - 1 && counted.length >= endsToRefuse) {
			const newest = Math.max(...counted.map(([{at}]) => at));
			return {kind: 'refused', ...known, refusedFor: endMemory - (now - newest)};
		}

		return {kind: weight > endsToIsolate - 1 ? 'alone' : (counted.length > 0 ? 'watched' : 'free'), ...known};
	}

	#weigh({at}: Crash, weight: number): number {
		const crashes = [...this.#crashes.values()].flat();
		const together = crashes.filter(crash => Math.abs(crash.at - at) <= togetherWithin && !this.#isExplained(crash)).length;
		return together >= togetherCount ? weight * togetherWeight : weight;
	}

	/** Whether something that ran there ended another server at about the same time: then it was no loss of many together. */
	#isExplained({at, running}: Crash): boolean {
		return [...running].some(content => [...this.#contents.get(content)?.keys() ?? []].filter(crash => Math.abs(crash.at - at) <= togetherWithin).length > 1);
	}

	/** The crash that a report is of; a server without a life of its own in its id may crash again under the same one. */
	#findCrash(server: BackendServerId, at: number): Crash {
		const crashes = this.#crashes.get(server) ?? [];
		let crash = crashes.find(known => Math.abs(known.at - at) <= sameCrashWithin);
		if (crash === undefined) {
			crash = {server, at, running: new Set()};
			this.#crashes.set(server, [...crashes, crash]);
		}

		return crash;
	}

	#add(content: ContentDigest, crash: Crash, weight: number): boolean {
		const crashes = this.#contents.get(content) ?? new Map<Crash, number>();
		const isNew = !crashes.has(crash);
		crash.running.add(content);
		if (isNew) {
			crashes.set(crash, weight);
		}

		// Keeps the map in the order of the last crash.
		this.#contents.delete(content);
		this.#contents.set(content, crashes);
		return isNew;
	}

	#prune(now: number): void {
		for (const [server, crashes] of this.#crashes) {
			const kept = crashes.filter(({at}) => now - at <= endMemory);
			if (kept.length === 0) {
				this.#crashes.delete(server);
			} else if (kept.length < crashes.length) {
				this.#crashes.set(server, kept);
			}
		}

		for (const content of this.#contents.keys()) {
			if (this.#contents.size <= mostContents) {
				return;
			}

			this.#contents.delete(content);
		}
	}
}
