/**
 * Which servers of a service are avoided because their answers fail more often than those of the others. Pure.
 *
 * Takes effect only while failed answers are remembered.
 */
import type {BackendServerId} from '../common/index.js';
import {FailedRequests} from './failed-requests.js';
import type {AnswerCounts, FailureRecord} from './failure-record.js';
import type {Plan, PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';

/** Greatest share of a service's servers that is avoided or nearly so for failures. Beyond it the cause is likely common to them, and the rest could not take their work. */
const maxAvoidedShare = 0.5;

/** Time after the last failed answer in which servers are compared, in milliseconds: ten half-lives of an answer. */
const memory = 300_000;

/** Minimum time between two comparisons of all servers before decisions, in milliseconds: with 78 servers, a comparison for each took longer than the rest of the decision. */
const comparisonInterval = 50;

/** Maximum number of avoided servers that a plan names. */
const maxNamedServers = 4;

/** Compares the servers of one service. */
export class FailureComparison {
	readonly #requests = new FailedRequests();
	#lastFailureAt = -Infinity;
	#comparedAt = -Infinity;

	/** Compares each server with the others unless that was done lately; called before each decision. */
	update(loads: ReadonlyMap<BackendServerId, ServerLoad>, now: number): void {
		// One comparison after the last failure was forgotten leaves no excess behind.
		const hasChange = this.#isActive(now) || this.#comparedAt < this.#lastFailureAt + memory;
		if (hasChange && now - this.#comparedAt >= comparisonInterval) {
			this.#compare(loads, now);
		}
	}

	/** Records a failed answer, unless other servers fail the same request. */
	recordFailure(load: ServerLoad, plan: Plan | undefined, loads: ReadonlyMap<BackendServerId, ServerLoad>, now: number): void {
		this.#lastFailureAt = now;
		this.#compare(loads, now);
		const {isCounted, cleared} = plan === undefined
			? {isCounted: true, cleared: []}
			: this.#requests.recordFailure(findIdentity(plan.request), load.server.id, now, plan.request.failedAt);
		for (const server of cleared) {
			loads.get(server)?.health.failures.withdrawFailure(now);
		}

		if (isCounted) {
			load.health.recordFailure('spoiled', now);
		}
	}

	/** Records a good answer. */
	recordSuccess({request}: Plan, now: number): void {
		if (this.#isActive(now)) {
			this.#requests.recordSuccess(findIdentity(request));
		}
	}

	/** The server that a request is to try, since it was avoided for long enough; undefined without one. Retries are no trials. */
	findTrial({excluded, canRepeat = false}: PlanRequest, available: ServerLoad[], now: number): ServerLoad | undefined {
		if (!this.#isActive(now) || excluded.length > 0) {
			return undefined;
		}

		return available.find(({health, taskCount}) => !health.isIgnoringFailures && health.failures.isTrialDue(taskCount, now, canRepeat));
	}

	/** Adds to a plan which servers were avoided for failures. */
	addAvoided(plan: Plan, loads: ReadonlyMap<BackendServerId, ServerLoad>, now: number): Plan {
		if (!this.#isActive(now)) {
			return plan;
		}

		const {promptTokens} = plan.request;
		const chosen = loads.get(plan.server);
		const avoided = [...loads.values()]
			.filter(load => load !== chosen && !load.health.isIgnoringFailures && (load.health.failures.isAvoided || (promptTokens === 0 && wasOutweighed(load, chosen))))
			.map(({server}) => server.id);
		return avoided.length === 0 ? plan : {...plan, avoided: avoided.slice(0, maxNamedServers)};
	}

	#compare(loads: ReadonlyMap<BackendServerId, ServerLoad>, now: number): void {
		this.#comparedAt = now;
		const total = {answers: 0, failures: 0};
		let disfavoured = 0;
		for (const {health: {failures}} of loads.values()) {
			disfavoured += failures.isDisfavoured ? 1 : 0;
			const {answers, failures: failed} = readOrdinaryCounts(failures, now);
			total.answers += answers;
			total.failures += failed;
		}

		for (const {health} of loads.values()) {
			const own = readOrdinaryCounts(health.failures, now);
			health.failures.compare({answers: total.answers - own.answers, failures: total.failures - own.failures}, now);
			health.isIgnoringFailures = disfavoured > loads.size * maxAvoidedShare;
		}
	}

	/** Whether a failed answer is remembered. */
	#isActive(now: number): boolean {
		return now - this.#lastFailureAt < memory;
	}
}

/** Whether a plain request would have gone to a server with no more work than the chosen one, but for its failures. */
function wasOutweighed({server, taskCount, health}: ServerLoad, chosen: ServerLoad | undefined): boolean {
	return chosen !== undefined && taskCount / server.slots <= chosen.taskCount / chosen.server.slots && health.failures.excess > 0;
}

function findIdentity({fingerprint, requestId}: PlanRequest): string {
	return fingerprint ?? requestId;
}

/** Counts of a server for the rate of the others. Avoided servers have none: two that fail would otherwise look ordinary beside each other. */
function readOrdinaryCounts(record: FailureRecord, now: number): AnswerCounts {
	return record.isAvoided ? {answers: 0, failures: 0} : record.readCounts(now);
}
