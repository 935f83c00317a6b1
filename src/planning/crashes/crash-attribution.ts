/**
 * Attributes crashes of backend servers to the requests that may have caused them. Pure.
 *
 * A crash is reported by the attempts that it breaks; attempts that ended without an answer shortly before are matched with it here. How much
 * a crash counts against a request depends on where else the request runs.
 */
import {
	createFailure, type BackendServerId, type Failure, type RequestFingerprint,
} from '../../common/index.js';
import type {ActivePlans} from '../active-plans.js';
import type {Plan, PlanRequest} from '../plan.js';
import {AbandonedAttempts} from './abandoned-attempts.js';
import {CrashRecords, isolatedCrashWeight, type QuarantineState} from './crash-records.js';
import type {IsolationTrials} from './isolation-trials.js';

/** The failure of a request that is rejected because of its crashes. */
export function createQuarantineFailure({crashes, rejectedFor}: Extract<QuarantineState, {kind: 'rejected'}>): Failure {
	return createFailure('ends_servers', `${crashes} backend servers crashed while they ran this request; it is not sent to another one`, {retryAfterSeconds: Math.ceil(rejectedFor / 1000)});
}

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
	classify({fingerprint, crashes}: PlanRequest, now: number): QuarantineState {
		if (fingerprint !== undefined && crashes !== undefined) {
			this.records.merge(fingerprint, crashes, now);
		}

		return this.records.classify(fingerprint, now);
	}

	/** Adds the crash records, as the node that runs the plan may have to decide for the request later. */
	addCrashes(plan: Plan, now: number): Plan {
		const {request} = plan;
		return {...plan, request: {...request, crashes: this.records.describe(request.fingerprint!, now)}};
	}

	/** Counts a server's crash against a request that it ran; returns whether the crash is a new one for the request. */
	recordCrash(server: BackendServerId, fingerprint: RequestFingerprint, now: number): boolean {
		return this.records.recordCrash(server, fingerprint, this.#computeWeight(server, fingerprint), now);
	}

	/** Records an attempt that ended without an answer. */
	recordAbandoned({server, request: {fingerprint}}: Plan, now: number): void {
		// A server that accepts no new work may be leaving as planned, which is no crash.
		if (fingerprint !== undefined && this.#plans.loads.has(server)) {
			this.#abandoned.add(server, fingerprint, now);
		}
	}

	/** Servers that may have crashed with unanswered attempts. */
	listAbandonedServers(): BackendServerId[] {
		return this.#abandoned.listServers();
	}

	/** Counts a server's crash against the requests whose attempts there ended without an answer at most `age` milliseconds ago; returns those for which it is new. */
	attribute(server: BackendServerId, now: number, age?: number): RequestFingerprint[] {
		return this.#abandoned.take(server, now, age).filter(fingerprint => this.recordCrash(server, fingerprint, now));
	}

	/** Drops the unanswered attempts at a server that leaves as planned. */
	dropAbandoned(server: BackendServerId, now: number): void {
		this.#abandoned.take(server, now);
	}

	/** Weight of a crash for a request; 0 for a request that runs on all servers. */
	#computeWeight(server: BackendServerId, fingerprint: RequestFingerprint): number {
		if (this.#trials.isReserved(server)) {
			return isolatedCrashWeight;
		}

		const otherServers = this.#plans.findServers(fingerprint);
		otherServers.delete(server);
		return 1 - (otherServers.size / Math.max(1, this.#plans.loads.size));
	}
}
