/** Describes the planned load and the health of servers, for status pages. Pure. */
import type {AvailabilityZone, BackendServerId} from '../common/index.js';
import type {AnswerCounts} from './failure-record.js';
import type {LimitGate} from './limit-gate.js';
import type {ServerLoad} from './server-load.js';

/** Planned load and health of one server. */
export type PlannedServerStatus = {
	server: BackendServerId;
	availabilityZone: AvailabilityZone;
	/** Requests, those among them that decode or are about to, and its capacity. */
	work: number;
	writers: number;
	slots: number;
	/** Memory in use, in tokens. */
	heldTokens: number;
	/** Prefill still to be done, in milliseconds. */
	readFor: number;
	/** Remaining backoff, in milliseconds; 0 without backoff. */
	restsFor: number;
	/** Requests per second that it accepts from all nodes; undefined without a declared limit. */
	requestLimit?: number;
	/** Remaining cold time, in milliseconds; undefined for a warm server. */
	coldFor?: number;
	/** Share of its answers that failed, and the number of answers behind it. */
	spoiled: number;
	answers: number;
	/** Whether other servers are preferred because of failures. */
	isDoubtful: boolean;
};

function describeFailures({answers, failures}: AnswerCounts): Pick<PlannedServerStatus, 'spoiled' | 'answers'> {
	return {spoiled: answers === 0 ? 0 : Math.round(failures / answers * 100) / 100, answers: Math.round(answers)};
}

/** Status of the busiest servers, at most `limit` of them. */
export function describeServers(loads: Iterable<ServerLoad>, gate: LimitGate, {now, limit}: {now: number; limit: number}): PlannedServerStatus[] {
	return [...loads]
		.sort((left, right) => right.taskCount - left.taskCount)
		.slice(0, limit)
		.map(load => describeServer(load, gate, now));
}

function describeServer(load: ServerLoad, gate: LimitGate, now: number): PlannedServerStatus {
	const {server, health} = load;
	return {
		server: server.id,
		availabilityZone: server.availabilityZone,
		work: load.taskCount,
		writers: load.writers,
		slots: server.slots,
		heldTokens: Math.round(load.heldTokens),
		readFor: Math.round(load.computePendingPrefill(now)),
		restsFor: Math.round(health.computeBackoffLeft(now)),
		requestLimit: gate.limits.findRate(server.id),
		coldFor: Math.round(gate.cold.computeColdLeft(server.id, now)) || undefined,
		...describeFailures(health.failures.readCounts(now)),
		isDoubtful: health.isUnreliable(now),
	};
}
