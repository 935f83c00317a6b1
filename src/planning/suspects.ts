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

type KnownEnd = {at: number; weight: number};

/** Requests under which servers have ended. */
export class Suspects {
	readonly #contents = new Map<ContentDigest, Map<BackendServerId, KnownEnd>>();
	/** When each server ended, and what ran there. */
	readonly #ends = new Map<BackendServerId, {at: number; running: Set<ContentDigest>}>();

	/** How many requests are remembered. */
	get size(): number {
		return this.#contents.size;
	}

	/** Notes that a server ended while it ran a request, and what that counts. */
	noteEnd(server: BackendServerId, content: ContentDigest, weight: number, now: number): void {
		this.#noteServer(server, now);
		this.#add(content, server, {at: this.#ends.get(server)!.at, weight});
		this.#prune(now);
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
			const at = now - age;
			this.#noteServer(server, at);
			this.#add(content, server, {at, weight});
		}

		this.#prune(now);
	}

	/** What is known of a request, newest first, to be told to others. */
	describe(content: ContentDigest, now: number): ServerEnd[] {
		return [...this.#contents.get(content) ?? []]
			.map(([server, {at, weight}]) => ({server, age: Math.round(now - at), weight}))
			.filter(({age}) => age < endMemory)
			.sort((left, right) => left.age - right.age)
			.slice(0, mostTold);
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

		const counted = [...ends.values()].filter(({at}) => now - at < endMemory);
		const weight = counted.reduce((sum, end) => sum + this.#weigh(end), 0);
		const known = {ends: counted.length};
		if (weight > endsToRefuse - 1 && counted.length >= endsToRefuse) {
			const newest = Math.max(...counted.map(({at}) => at));
			return {kind: 'refused', ...known, refusedFor: endMemory - (now - newest)};
		}

		return {kind: weight > endsToIsolate - 1 ? 'alone' : (counted.length > 0 ? 'watched' : 'free'), ...known};
	}

	#weigh({at, weight}: KnownEnd): number {
		const together = [...this.#ends.values()].filter(end => Math.abs(end.at - at) <= togetherWithin && !this.#isExplained(end)).length;
		return together >= togetherCount ? weight * togetherWeight : weight;
	}

	/** Whether something that ran there ended another server at about the same time: then it was no loss of many together. */
	#isExplained({at, running}: {at: number; running: Set<ContentDigest>}): boolean {
		return [...running].some(content => [...this.#contents.get(content)?.values() ?? []].filter(end => Math.abs(end.at - at) <= togetherWithin).length > 1);
	}

	#noteServer(server: BackendServerId, at: number): void {
		const known = this.#ends.get(server);
		this.#ends.set(server, {at: known?.at ?? at, running: known?.running ?? new Set()});
	}

	#add(content: ContentDigest, server: BackendServerId, end: KnownEnd): void {
		const ends = this.#contents.get(content) ?? new Map<BackendServerId, KnownEnd>();
		this.#ends.get(server)?.running.add(content);
		if (!ends.has(server)) {
			ends.set(server, end);
		}

		// The one that was added to last is forgotten last.
		this.#contents.delete(content);
		this.#contents.set(content, ends);
	}

	#prune(now: number): void {
		for (const [server, {at}] of this.#ends) {
			if (now - at > endMemory) {
				this.#ends.delete(server);
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
