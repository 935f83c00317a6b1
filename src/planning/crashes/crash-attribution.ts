/**
 * Attributes crashes of backend servers to the requests that may have caused them. Pure.
 *
 * A crash is reported by the attempts that it breaks; attempts that ended without an answer shortly before are matched with it here. How much
 * a crash counts against a request depends on where else the request runs.
 */
import type {BackendServerId, CrashTrait} from '../../common/index.js';
import type {ActivePlans} from '../active-plans.js';
import type {Plan, PlanRequest} from '../plan.js';
import {AbandonedAttempts} from './abandoned-attempts.js';
import {CrashRecords, isolatedCrashWeight} from './crash-records.js';
import {listTraits} from './crash-traits.js';
import type {IsolationTrials} from './isolation-trials.js';
import {classifyTraits, type QuarantineState} from './quarantine.js';

/** Crash attribution of one service. */
export class CrashAttribution {
	/** Requests that were running on servers when they crashed. */
	readonly records = new CrashRecords();
	readonly #abandoned = new AbandonedAttempts();
	readonly #plans: ActivePlans;
	readonly #trials: IsolationTrials;

	constructor(plans: ActivePlans, trials: IsolationTrials) {
		this.#plans = plans;
		this.#trials = trials;
	}

	/** The quarantine state of a request, with the crashes that its node knows. */
	classify(request: PlanRequest, now: number): QuarantineState {
		const {fingerprint, crashes} = request;
		if (fingerprint !== undefined && crashes !== undefined) {
			this.records.merge(fingerprint, crashes, now);
		}

		return classifyTraits(this.records, listTraits(request), now);
	}

	/** Adds the crash records, as the node that runs the plan may have to decide for the request later. */
	addCrashes(plan: Plan, now: number): Plan {
		const {request} = plan;
		return {...plan, request: {...request, crashes: this.records.describe(request.fingerprint!, now)}};
	}

	/** Counts a server's crash against the traits of a request that it ran; returns those for which the crash is a new one. */
	recordCrash(server: BackendServerId, traits: CrashTrait[], now: number): CrashTrait[] {
		return traits.filter(trait => this.records.recordCrash(server, trait, this.#computeWeight(server, trait, now), now));
	}

	/** Records the complete answer to a request. */
	recordAnswer(traits: CrashTrait[], now: number): void {
		for (const trait of traits) {
			this.records.recordAnswer(trait, now);
		}
	}

	/** Records an attempt that ended without an answer. */
	recordAbandoned({server, request}: Plan, now: number): void {
		const traits = listTraits(request);
		// A server that accepts no new work may be leaving as planned, which is no crash.
		if (traits.length > 0 && this.#plans.loads.has(server)) {
			this.#abandoned.add(server, traits, now);
		}
	}

	/** Servers that may have crashed with unanswered attempts. */
	listAbandonedServers(): BackendServerId[] {
		return this.#abandoned.listServers();
	}

	/** Counts a server's crash against the requests whose attempts there ended without an answer at most `age` milliseconds ago; returns the traits for which it is new. */
	attribute(server: BackendServerId, now: number, age?: number): CrashTrait[] {
		return this.recordCrash(server, this.#abandoned.take(server, now, age), now);
	}

	/** Drops the unanswered attempts at a server that leaves as planned. */
	dropAbandoned(server: BackendServerId, now: number): void {
		this.#abandoned.take(server, now);
	}

	/** Weight of a crash for a trait; 0 for one that runs on all other servers, none of which it has crashed. */
	#computeWeight(server: BackendServerId, trait: CrashTrait, now: number): number {
		if (this.#trials.findTrait(server) === trait) {
			return isolatedCrashWeight;
		}

		// Attempts at crashed servers are left until their nodes notice.
		const {loads} = this.#plans;
		const soundServers = [...this.#plans.findServers(trait)].filter(other => other !== server && loads.has(other) && !this.records.hasCrashed(other, trait, now));
		return 1 - (soundServers.length / Math.max(1, loads.size));
	}
}
