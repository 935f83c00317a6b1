/**
 * Decides from crash records which requests are isolated or rejected. Pure; time is passed in.
 *
 * A crash counts against all requests that the server was running, but another trait may explain it: one that was running at more crashes.
 * A prompt part that was running at the same crashes as another trait only is blamed for requests that have both, and so is that trait.
 *
 * Load pattern: four of thirty requests a second have a part that crashes each server that begins to answer them, beside ten others, no two
 * of them alike; the others have the same caller and their other parts.
 */
import {createFailure, type CrashTrait, type Failure} from '../../common/index.js';
import {
	crashRetention, type Crash, type CrashRecords, type CrashSummary,
} from './crash-records.js';
import {findPartDigest} from './crash-traits.js';

/** Number of crashes after which a request is isolated, and rejected. */
const crashesToIsolate = 2;
const crashesToReject = 3;

/** Time after the last crash for which requests are rejected, in milliseconds; it doubles with each crash beyond the first rejection. Then one is tried in isolation. */
const firstRejectionTime = 60_000;

/** Minimum number of other organisations with crashes of a prompt part after which an organisation is judged by them alone: a single one may state parts of others falsely. */
const minAccusers = 2;

/** Quarantine state of a request; `trait` is the one that it is isolated or rejected for, `rejectedFor` in milliseconds. */
export type QuarantineState =
	| {kind: 'clean' | 'suspect'; crashes: number}
	| {kind: 'isolated'; crashes: number; trait: CrashTrait}
	| {kind: 'rejected'; crashes: number; trait: CrashTrait; rejectedFor: number};

/** States by severity. */
const severities = ['clean', 'suspect', 'isolated', 'rejected'];

/** The failure of a request that is rejected because of its crashes. */
export function createQuarantineFailure({crashes, trait, rejectedFor}: Extract<QuarantineState, {kind: 'rejected'}>): Failure {
	const subject = findPartDigest(trait) === undefined ? 'this request' : 'requests with a part of this prompt';
	return createFailure('ends_servers', `${crashes} backend servers crashed while they ran ${subject}; it is not sent to another one`, {retryAfterSeconds: Math.ceil(rejectedFor / 1000)});
}

/** Classifies a request by its worst trait. */
export function classifyTraits(records: CrashRecords, traits: readonly CrashTrait[], now: number): QuarantineState {
	const judge = new TraitJudge(records, new Set(traits), now);
	let worst: QuarantineState = {kind: 'clean', crashes: 0};
	for (const trait of traits) {
		const state = judge.classify(trait);
		if (severities.indexOf(state.kind) > severities.indexOf(worst.kind)) {
			worst = state;
		}
	}

	return worst;
}

/** Judges the traits of one request. */
class TraitJudge {
	readonly #records: CrashRecords;
	readonly #traits: ReadonlySet<CrashTrait>;
	readonly #now: number;

	constructor(records: CrashRecords, traits: ReadonlySet<CrashTrait>, now: number) {
		this.#records = records;
		this.#traits = traits;
		this.#now = now;
	}

	classify(trait: CrashTrait): QuarantineState {
		const summary = this.#summarise(trait);
		const own = this.#listUnexplained(trait, summary);
		const others = this.#listAccusations(trait, own);
		const weight = this.#sumWeights(trait, own) + others.reduce((sum, other) => sum + this.#sumWeights(other.trait, other.crashes), 0);
		const counted = [...own, ...others.flatMap(other => other.crashes)];
		const count = counted.length;
		if (weight > crashesToReject - 1 && count >= crashesToReject) {
			const rejectedFor = Math.max(...counted.map(({at}) => at)) + computeRejectionTime(count) - this.#now;
			return rejectedFor > 0
				? {
					kind: 'rejected', crashes: count, trait, rejectedFor,
				}
				: {kind: 'isolated', crashes: count, trait};
		}

		if (weight > crashesToIsolate - 1 && this.#mayIsolate(trait, own)) {
			return {kind: 'isolated', crashes: count, trait};
		}

		return {kind: summary.count > 0 ? 'suspect' : 'clean', crashes: summary.count};
	}

	/** The crashes that no other trait explains. */
	#listUnexplained(trait: CrashTrait, {crashes, weight}: CrashSummary): Crash[] {
		// Most traits with records were beside one or two crashes, which isolate or reject nothing.
		if (weight <= crashesToIsolate - 1) {
			return crashes;
		}

		return crashes.filter(crash => ![...crash.running].some(other => other !== trait && this.#isConvicted(other) && this.#explains(other, trait, crashes)));
	}

	/** Whether the crashes of a trait would reject requests if no other trait explained them. */
	#isConvicted(trait: CrashTrait): boolean {
		const {count, weight} = this.#summarise(trait);
		return count >= crashesToReject && weight > crashesToReject - 1;
	}

	/** Whether another trait was running at more crashes. At the same ones, a request and a part are excused for each other, and two parts for requests that have one of them. */
	#explains(other: CrashTrait, trait: CrashTrait, crashes: Crash[]): boolean {
		const {count} = this.#summarise(other);
		const {count: ownCount} = this.#summarise(trait);
		const isPart = findPartDigest(trait) !== undefined || findPartDigest(other) !== undefined;
		const isExcused = isPart && count === ownCount && !this.#traits.has(other);
		return count > ownCount || (isExcused && crashes.every(({running}) => running.has(other)));
	}

	/** The other crashes of the same prompt part in requests of other organisations, if they count for this one. */
	#listAccusations(trait: CrashTrait, own: Crash[]): Array<{trait: CrashTrait; crashes: Crash[]}> {
		const others = this.#records.wasAnswered(trait, this.#now) ? [] : this.#records.listOtherOrganisations(trait);
		const accusations = others
			.map(other => ({trait: other, crashes: this.#listUnexplained(other, this.#summarise(other)).filter(crash => !own.includes(crash))}))
			.filter(({crashes}) => crashes.length > 0);
		return own.length > 0 || accusations.length >= minAccusers ? accusations : [];
	}

	/** A prompt part is isolated only when no other trait was running at the same crashes: many requests may share it, and they would wait for each other. */
	#mayIsolate(trait: CrashTrait, crashes: Crash[]): boolean {
		return findPartDigest(trait) === undefined || ![...crashes[0]?.running ?? []].some(other => other !== trait && !this.#traits.has(other)
			&& this.#summarise(other).count >= crashes.length && crashes.every(({running}) => running.has(other)));
	}

	#summarise(trait: CrashTrait): CrashSummary {
		return this.#records.summarise(trait, this.#now);
	}

	#sumWeights(trait: CrashTrait, crashes: Crash[]): number {
		return this.#records.sumWeights(trait, crashes, this.#now);
	}
}

function computeRejectionTime(crashes: number): number {
	return Math.min(crashRetention, firstRejectionTime * (2 ** (crashes - crashesToReject)));
}
