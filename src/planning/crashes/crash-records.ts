/**
 * Records which requests were running on backend servers when they crashed. Pure; time is passed in.
 *
 * Requests are identified by their traits: a fingerprint, since clients retry them under new ids, and the shared parts of their prompts,
 * since requests may have nothing else in common. A crash counts against every trait of the requests that the server was running; an
 * answer of a server clears the traits of its request.
 */
import type {BackendServerId, CrashTrait} from '../../common/index.js';
import {findPartDigest} from './crash-traits.js';
import {TraitAnswers} from './trait-answers.js';

/** How long a crash counts, in milliseconds. */
export const crashRetention = 600_000;

/** At least this many crashes within this time, in milliseconds, count as one correlated failure: the loss of a rack, a zone or power. */
const correlationWindow = 250;
const minCorrelated = 3;

/** Factor applied to the weight of a correlated crash. */
const correlatedWeight = 0.5;

/** Weight of the crash of a server that ran only this request. */
export const isolatedCrashWeight = 1.5;

/** Factor applied to the weight of crashes for a prompt part that was answered before them. */
const answeredPartWeight = 0.5;

/** Maximum number of crashes of a trait that are judged, the newest ones: all servers of a fleet may crash at once. */
const maxJudged = 8;

/** Time after which crashes that have expired are no longer counted, in milliseconds. */
const summaryLifetime = 1000;

/** Maximum number of traits; the oldest are dropped first. */
const maxTraits = 4096;

/** Maximum number of crashes of one trait that are reported to other nodes. */
const maxReported = 4;

/** A crash of a server that ran a request; `age` in milliseconds. The weight is below 1 when the trait ran on many servers, and above when it was isolated. */
export type CrashReport = {server: BackendServerId; age: number; weight: number};

/** Reports of a server's crash within this time of its first report refer to the same crash, in milliseconds; a server takes longer to restart and crash again. */
const sameCrashWindow = 5000;

/** A crash of a server and the traits of the requests that it was running. */
export type Crash = {server: BackendServerId; at: number; running: Set<CrashTrait>};

/** Crashes that count for a trait: their number, the newest of them, and the sum of the weights of these. */
export type CrashSummary = {count: number; crashes: Crash[]; weight: number};

/** Crash records of one service. */
export class CrashRecords {
	/** The crashes of each trait, with their weights. */
	readonly #traits = new Map<CrashTrait, Map<Crash, number>>();
	readonly #crashes = new Map<BackendServerId, Crash[]>();
	/** Traits with records of each prompt part. */
	readonly #parts = new Map<string, Set<CrashTrait>>();
	readonly #answers = new TraitAnswers();
	/** Correlations and summaries, as far as they were asked for since the last change. */
	readonly #correlations = new Map<Crash, boolean>();
	readonly #repetitions = new Map<Crash, boolean>();
	readonly #summaries = new Map<CrashTrait, CrashSummary>();
	#summarisedAt = -Infinity;

	/** Number of traits with a record. */
	get size(): number {
		return this.#traits.size;
	}

	/** Records a crash of a server that ran a request with the trait; returns whether the crash is a new one for the trait. */
	recordCrash(server: BackendServerId, trait: CrashTrait, weight: number, now: number): boolean {
		const isNew = this.#add(trait, this.#findCrash(server, now), weight);
		this.#prune(now);
		return isNew;
	}

	/** Records a complete answer to a request with the trait, which drops its crashes. */
	recordAnswer(trait: CrashTrait, now: number): void {
		// Whole requests are rarely sent again after an answer: only those with a record have to be remembered.
		if (this.#traits.has(trait) || findPartDigest(trait) !== undefined) {
			this.#answers.record(trait, now);
		}

		this.#drop(trait);
	}

	/** Whether a trait has a record. */
	has(trait: CrashTrait): boolean {
		return this.#traits.has(trait);
	}

	/** Whether a server that ran a request with the trait has crashed recently. */
	hasCrashed(server: BackendServerId, trait: CrashTrait, now: number): boolean {
		return [...this.#traits.get(trait)?.keys() ?? []].some(crash => crash.server === server && now - crash.at <= sameCrashWindow);
	}

	/** Merges crashes that another node reports. */
	merge(trait: CrashTrait, crashes: CrashReport[], now: number): void {
		for (const {server, age, weight} of crashes) {
			if (!this.#answers.hasSince(trait, now - age)) {
				this.#add(trait, this.#findCrash(server, now - age), weight);
			}
		}

		this.#prune(now);
	}

	/** The crashes of a trait, newest first. */
	describe(trait: CrashTrait, now: number): CrashReport[] {
		return [...this.#traits.get(trait) ?? []]
			.map(([{server, at}, weight]) => ({server, age: Math.round(now - at), weight}))
			.filter(({age}) => age < crashRetention)
			.sort((left, right) => left.age - right.age)
			.slice(0, maxReported);
	}

	/** Traits with more than one crash. */
	describeRepeated(now: number): Array<[CrashTrait, CrashReport[]]> {
		return this.describeAll(now).filter(([, crashes]) => crashes.length > 1);
	}

	/** Traits with at least one crash. */
	describeAll(now: number): Array<[CrashTrait, CrashReport[]]> {
		return [...this.#traits.keys()]
			.map((trait): [CrashTrait, CrashReport[]] => [trait, this.describe(trait, now)])
			.filter(([, crashes]) => crashes.length > 0);
	}

	/** The crashes that count for a trait. */
	summarise(trait: CrashTrait, now: number): CrashSummary {
		if (now - this.#summarisedAt > summaryLifetime) {
			this.#forgetSummaries();
			this.#summarisedAt = now;
		}

		let summary = this.#summaries.get(trait);
		if (summary === undefined) {
			const all = [...this.#traits.get(trait)?.keys() ?? []].filter(({at}) => now - at < crashRetention);
			const crashes = all.sort((left, right) => right.at - left.at).slice(0, maxJudged);
			summary = {count: all.length, crashes, weight: this.sumWeights(trait, crashes, now)};
			this.#summaries.set(trait, summary);
		}

		return summary;
	}

	/** Sum of the weights of some crashes of a trait. */
	sumWeights(trait: CrashTrait, crashes: Crash[], now: number): number {
		const weights = this.#traits.get(trait);
		const factor = findPartDigest(trait) !== undefined && this.#answers.has(trait, now) ? answeredPartWeight : 1;
		return factor * crashes.reduce((sum, crash) => sum + ((weights?.get(crash) ?? 0) * (this.#isCorrelated(crash, now) ? correlatedWeight : 1)), 0);
	}

	/** The traits of the same prompt part in requests of other organisations. */
	listOtherOrganisations(trait: CrashTrait): CrashTrait[] {
		const part = findPartDigest(trait);
		return part === undefined ? [] : [...this.#parts.get(part) ?? []].filter(other => other !== trait);
	}

	/** Whether a request with the trait was answered recently. */
	wasAnswered(trait: CrashTrait, now: number): boolean {
		return this.#answers.has(trait, now);
	}

	#forgetSummaries(): void {
		this.#correlations.clear();
		this.#repetitions.clear();
		this.#summaries.clear();
	}

	#isCorrelated(crash: Crash, now: number): boolean {
		const known = this.#correlations.get(crash);
		if (known !== undefined) {
			return known;
		}

		let count = 0;
		for (const other of [...this.#crashes.values()].flat()) {
			if (count < minCorrelated && Math.abs(other.at - crash.at) <= correlationWindow && !this.#isRepeated(other, now)) {
				count++;
			}
		}

		this.#correlations.set(crash, count >= minCorrelated);
		return count >= minCorrelated;
	}

	/** Whether a trait of requests that ran there crashed another server at about the same time, so that this is no correlated failure. A part that is answered elsewhere is no cause. */
	#isRepeated(crash: Crash, now: number): boolean {
		const known = this.#repetitions.get(crash);
		if (known !== undefined) {
			return known;
		}

		const isRepeated = [...crash.running].some(trait => !this.#answers.has(trait, now)
			&& [...this.#traits.get(trait)?.keys() ?? []].filter(({at}) => Math.abs(at - crash.at) <= correlationWindow).length > 1);
		this.#repetitions.set(crash, isRepeated);
		return isRepeated;
	}

	/** The crash that a report refers to; a server may crash again under the same id. */
	#findCrash(server: BackendServerId, at: number): Crash {
		const crashes = this.#crashes.get(server) ?? [];
		let crash = crashes.find(known => Math.abs(known.at - at) <= sameCrashWindow);
		if (crash === undefined) {
			crash = {server, at, running: new Set()};
			this.#crashes.set(server, [...crashes, crash]);
		}

		return crash;
	}

	#add(trait: CrashTrait, crash: Crash, weight: number): boolean {
		this.#forgetSummaries();
		const crashes = this.#traits.get(trait) ?? new Map<Crash, number>();
		const known = crashes.get(crash);
		crash.running.add(trait);
		crashes.set(crash, known === undefined ? weight : combineWeights(known, weight));
		// Keeps the map ordered by latest crash.
		this.#traits.delete(trait);
		this.#traits.set(trait, crashes);
		const part = findPartDigest(trait);
		if (part !== undefined) {
			this.#parts.set(part, (this.#parts.get(part) ?? new Set()).add(trait));
		}

		return known === undefined;
	}

	#drop(trait: CrashTrait): void {
		if (this.#traits.delete(trait)) {
			this.#forgetSummaries();
		}

		const part = findPartDigest(trait);
		const others = part === undefined ? undefined : this.#parts.get(part);
		if (others?.delete(trait) && others.size === 0) {
			this.#parts.delete(part!);
		}
	}

	#prune(now: number): void {
		for (const [server, crashes] of this.#crashes) {
			const kept = crashes.filter(({at}) => now - at <= crashRetention);
			if (kept.length === 0) {
				this.#crashes.delete(server);
			} else if (kept.length < crashes.length) {
				this.#crashes.set(server, kept);
			}
		}

		for (const trait of this.#traits.keys()) {
			if (this.#traits.size <= maxTraits) {
				return;
			}

			this.#drop(trait);
		}
	}
}

/** Combines the weights that two nodes give a crash: isolation is known to one of them, and the node that knows more of the requests running elsewhere gives the lower weight. */
function combineWeights(known: number, reported: number): number {
	return Math.max(known, reported) > 1 ? Math.max(known, reported) : Math.min(known, reported);
}
