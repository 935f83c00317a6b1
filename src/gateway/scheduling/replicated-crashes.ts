/** Crash records of one service, as one node takes part in them: attributes crashes to requests and replicates the records. */
import type {BackendServerId, RequestFingerprint} from '../../common/index.js';
import type {CrashReport, PlanEvent} from '../../planning/index.js';
import type {ServiceParts} from './service-parts.js';

/** Maximum age in milliseconds of an unanswered attempt that a reported crash is attributed to. */
const maxReportedCrashAge = 1000;

/** Age up to which a node's life is sent the crash records with each list, in milliseconds: three datagrams, any of which may be lost. */
const maxNewNodeAge = 3500;

/** Maximum number of requests in one datagram of crash records. */
const maxCrashesReplicated = 20;

/** Crash records of one service. */
export class ReplicatedCrashes {
	readonly #parts: ServiceParts;

	constructor(parts: ServiceParts) {
		this.#parts = parts;
	}

	/** The crashes of a request, newest first. */
	describe(fingerprint: RequestFingerprint | undefined): CrashReport[] {
		return fingerprint === undefined ? [] : this.#parts.planner.crashRecords.describe(fingerprint, this.#now);
	}

	/** All records, for a node that takes over. */
	describeAll(): Array<[RequestFingerprint, CrashReport[]]> {
		return this.#parts.planner.crashRecords.describeAll(this.#now);
	}

	/** Merges records of another node. */
	merge(records: Array<[RequestFingerprint, CrashReport[]]>): void {
		for (const [fingerprint, crashes] of records) {
			this.#parts.planner.crashRecords.merge(fingerprint, crashes, this.#now);
		}
	}

	/** Replicates a crash that an attempt of this node has reported. */
	replicateOwn({server, fingerprint}: Extract<PlanEvent, {kind: 'server_ended'}>): void {
		this.#replicate(fingerprint);
		this.#attribute(server, maxReportedCrashAge);
	}

	/** Replicates a crash that another node has reported. */
	replicateReported({server, fingerprint}: Extract<PlanEvent, {kind: 'server_ended'}>): void {
		if (this.hasRepeated(fingerprint)) {
			// Only the node that proxied the request may have seen this crash.
			this.#replicate(fingerprint);
		}

		this.#attribute(server, maxReportedCrashAge);
	}

	/** Whether more than one crash is recorded for the request. */
	hasRepeated(fingerprint: RequestFingerprint): boolean {
		return this.describe(fingerprint).length > 1;
	}

	/** An entry that vanishes without a notice counts as a crash for requests that were not answered there. */
	checkServers(): void {
		const {planner, state} = this.#parts;
		for (const server of planner.listAbandonedServers()) {
			if (!state.hasServer(server)) {
				this.#attribute(server);
			} else if (state.findUsableServer(server) === undefined) {
				planner.dropAbandoned(server, this.#now);
			}
		}
	}

	/** Sends the records to nodes that have started lately: any of them may have to decide alone. */
	replicateToNewNodes(): void {
		const {service, planner, updates: news} = this.#parts;
		const nodes = news.listDiscoveredWithin(maxNewNodeAge);
		const repeated = nodes.length === 0 ? [] : planner.crashRecords.describeRepeated(this.#now);
		for (let start = 0; start < repeated.length; start += maxCrashesReplicated) {
			news.sendTo(nodes, service, {crashRecords: repeated.slice(start, start + maxCrashesReplicated)});
		}
	}

	get #now(): number {
		return this.#parts.clock.readMonotonic();
	}

	/** Sends a record to the next deciding node, or to all nodes: any of them may have to decide. */
	#replicate(fingerprint: RequestFingerprint): void {
		const {service, updates: news} = this.#parts;
		news.sendToSuccessors(service, this.hasRepeated(fingerprint), {crashRecords: [[fingerprint, this.describe(fingerprint)]]});
	}

	/** Counts a crash for requests whose attempts ended without an answer before it: no attempt reports it for them. */
	#attribute(server: BackendServerId, age?: number): void {
		const {service, planner, logger} = this.#parts;
		for (const fingerprint of planner.attributeCrash(server, this.#now, age)) {
			logger.info({
				event: 'server_ended', service, server, fingerprint, isInferred: true,
			}, 'a backend server crashed after an attempt there had ended without an answer');
			this.#replicate(fingerprint);
		}
	}
}
