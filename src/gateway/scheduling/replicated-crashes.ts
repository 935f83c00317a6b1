/** Crash records of one service: attributes server crashes to requests and replicates the records between nodes. */
import type {BackendServerId, RequestFingerprint} from '../../common/index.js';
import type {CrashReport, PlanEvent} from '../../planning/index.js';
import type {ServiceParts} from './service-parts.js';

/** Maximum age of an unanswered attempt that a reported crash is attributed to, in milliseconds. */
const maxReportedCrashAge = 1000;

/** Maximum age of a node that is sent the records once a second, in milliseconds: it gets three datagrams, any of which may be lost. */
const maxNewNodeAge = 3500;

/** Maximum number of requests with crash records in one datagram. */
const maxCrashesReplicated = 20;

/** Crash records of one service on this node. */
export class ReplicatedCrashes {
	readonly #parts: ServiceParts;

	constructor(parts: ServiceParts) {
		this.#parts = parts;
	}

	/** Describes the crashes attributed to a request, newest first. */
	describe(fingerprint: RequestFingerprint | undefined): CrashReport[] {
		return fingerprint === undefined ? [] : this.#parts.planner.crashRecords.describe(fingerprint, this.#now);
	}

	/** Describes all records, for a new scheduling node. */
	describeAll(): Array<[RequestFingerprint, CrashReport[]]> {
		return this.#parts.planner.crashRecords.describeAll(this.#now);
	}

	/** Merges records of another node. */
	merge(records: Array<[RequestFingerprint, CrashReport[]]>): void {
		for (const [fingerprint, crashes] of records) {
			this.#parts.planner.crashRecords.merge(fingerprint, crashes, this.#now);
		}
	}

	/** Replicates a crash that an attempt on this node reported. */
	replicateOwn({server, fingerprint}: Extract<PlanEvent, {kind: 'server_ended'}>): void {
		this.#replicate(fingerprint);
		this.#attribute(server, maxReportedCrashAge);
	}

	/** Replicates a crash that another node reported, if it is not the first of its request. */
	replicateReported({server, fingerprint}: Extract<PlanEvent, {kind: 'server_ended'}>): void {
		if (this.hasRepeated(fingerprint)) {
			// Without replication, only the node that proxied the request may know of this crash.
			this.#replicate(fingerprint);
		}

		this.#attribute(server, maxReportedCrashAge);
	}

	/** Whether more than one crash is recorded for a request. */
	hasRepeated(fingerprint: RequestFingerprint): boolean {
		return this.describe(fingerprint).length > 1;
	}

	/** Treats a server whose entry was removed without draining as crashed by the requests that it left unanswered. */
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

	/** Sends the records to recently started nodes: any of them may have to schedule requests alone. */
	replicateToNewNodes(): void {
		const {service, planner, updates} = this.#parts;
		const nodes = updates.listDiscoveredWithin(maxNewNodeAge);
		const repeated = nodes.length === 0 ? [] : planner.crashRecords.describeRepeated(this.#now);
		for (let start = 0; start < repeated.length; start += maxCrashesReplicated) {
			updates.sendTo(nodes, service, {crashRecords: repeated.slice(start, start + maxCrashesReplicated)});
		}
	}

	get #now(): number {
		return this.#parts.clock.readMonotonic();
	}

	/** Sends a record to the next scheduling node, or to all nodes if the request crashed several servers: any node may have to schedule it. */
	#replicate(fingerprint: RequestFingerprint): void {
		const {service, updates} = this.#parts;
		updates.sendToSuccessors(service, this.hasRepeated(fingerprint), {crashRecords: [[fingerprint, this.describe(fingerprint)]]});
	}

	/** Attributes a crash to requests whose attempts had ended unanswered before it and so cannot report it. */
	#attribute(server: BackendServerId, age?: number): void {
		const {service, planner, logger} = this.#parts;
		for (const fingerprint of planner.attributeCrash(server, this.#now, age)) {
			logger.info({
				event: 'server_ended', service, server, fingerprint, isInferred: true,
			}, 'attributed a backend server crash to an earlier unanswered attempt');
			this.#replicate(fingerprint);
		}
	}
}
