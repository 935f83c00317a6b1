/** Crash records of one service: attributes server crashes to requests and replicates the records between nodes. */
import type {BackendServerId, CrashTrait} from '../../common/index.js';
import {
	listTraits, type CrashReport, type Plan, type PlanEvent,
} from '../../planning/index.js';
import type {ServiceParts} from './service-parts.js';

/** Maximum age of an unanswered attempt that a reported crash is attributed to, in milliseconds. */
const maxReportedCrashAge = 1000;

/** Maximum age of a node that is sent the records once a second, in milliseconds: it gets three datagrams, any of which may be lost. */
const maxNewNodeAge = 3500;

/** Maximum number of traits with crash records in one datagram. */
const maxCrashesReplicated = 20;

/** Maximum number of traits whose rejection is remembered for logs. */
const maxRejectedLogged = 1000;

type CrashEvent = Extract<PlanEvent, {kind: 'server_ended'}>;

/** An answer to a request with crash records. */
export type Survival = {
	event: Extract<PlanEvent, {kind: 'survived'}>;
	/** Whether all nodes may have the records. */
	isKnownToAll: boolean;
};

/** Crash records of one service on this node. */
export class ReplicatedCrashes {
	readonly #parts: ServiceParts;
	/** Traits whose rejection was logged. */
	readonly #rejected = new Set<CrashTrait>();

	constructor(parts: ServiceParts) {
		this.#parts = parts;
	}

	/** Describes the crashes attributed to a trait, newest first. */
	describe(trait: CrashTrait | undefined): CrashReport[] {
		return trait === undefined ? [] : this.#parts.planner.crashRecords.describe(trait, this.#now);
	}

	/** Describes the records of some traits; those without crashes are left out. */
	describeTraits(traits: CrashTrait[]): Array<[CrashTrait, CrashReport[]]> {
		return traits.map((trait): [CrashTrait, CrashReport[]] => [trait, this.describe(trait)]).filter(([, crashes]) => crashes.length > 0);
	}

	/** Describes all records, for a new scheduling node. */
	describeAll(): Array<[CrashTrait, CrashReport[]]> {
		return this.#parts.planner.crashRecords.describeAll(this.#now);
	}

	/** Merges records of another node. */
	merge(records: Array<[CrashTrait, CrashReport[]]>): void {
		for (const [trait, crashes] of records) {
			this.#parts.planner.crashRecords.merge(trait, crashes, this.#now);
		}

		this.#logRejected(records.map(([trait]) => trait));
	}

	/** Logs that an answer to another request has ended the rejection of traits. */
	logCleared(traits: CrashTrait[]): void {
		const {service, logger} = this.#parts;
		for (const trait of traits.filter(cleared => this.#rejected.delete(cleared))) {
			logger.info({event: 'trait_cleared', service, trait}, 'a backend server answered a request with a trait that was rejected');
		}
	}

	/** Replicates a crash that an attempt on this node reported. */
	replicateOwn(event: CrashEvent): void {
		this.#logRejected(listTraits(event));
		this.#replicate(listTraits(event));
		this.#attribute(event.server, maxReportedCrashAge);
	}

	/** Replicates a crash that another node reported, for the traits for which it is not the first. */
	replicateReported(event: CrashEvent): void {
		this.#logRejected(listTraits(event));
		// Without replication, only the node that proxied the request may know of this crash.
		this.#replicate(listTraits(event).filter(trait => this.#hasRepeated(trait)));
		this.#attribute(event.server, maxReportedCrashAge);
	}

	/** Traits of an answered request that have records, as an event for the other nodes; undefined when there are none. */
	createSurvival(plan: Plan): Survival | undefined {
		const traits = listTraits(plan.request).filter(trait => this.#parts.planner.crashRecords.has(trait));
		if (traits.length === 0) {
			return undefined;
		}

		this.logCleared(traits);
		const {fingerprint, parts = []} = plan.request;
		const event = {
			planId: plan.planId,
			kind: 'survived',
			fingerprint: fingerprint !== undefined && traits.includes(fingerprint) ? fingerprint : undefined,
			parts: parts.filter(part => traits.includes(part)),
		} as const;
		return {event, isKnownToAll: traits.some(trait => this.#hasRepeated(trait))};
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

	/** Whether more than one crash is recorded for a trait. */
	#hasRepeated(trait: CrashTrait): boolean {
		return this.describe(trait).length > 1;
	}

	/** Sends records to the next scheduling node, and those of traits with several crashes to all nodes: any node may have to schedule their requests. */
	#replicate(traits: CrashTrait[]): void {
		const {service, updates} = this.#parts;
		const repeated = traits.filter(trait => this.#hasRepeated(trait));
		const single = traits.filter(trait => !repeated.includes(trait));
		for (const [list, isBroadcast] of [[repeated, true], [single, false]] as const) {
			for (let start = 0; start < list.length; start += maxCrashesReplicated) {
				updates.sendToSuccessors(service, isBroadcast, {crashRecords: this.describeTraits(list.slice(start, start + maxCrashesReplicated))});
			}
		}
	}

	/** Attributes a crash to requests whose attempts had ended unanswered before it and so cannot report it. */
	#attribute(server: BackendServerId, age?: number): void {
		const {service, planner, logger} = this.#parts;
		const traits = planner.attributeCrash(server, this.#now, age);
		if (traits.length > 0) {
			logger.info({
				event: 'server_ended', service, server, traits, isInferred: true,
			}, 'attributed a backend server crash to earlier unanswered attempts');
			this.#logRejected(traits);
			this.#replicate(traits);
		}
	}

	/** Logs the trait for which requests with these traits are rejected from now on, with the evidence. */
	#logRejected(traits: CrashTrait[]): void {
		const {service, planner, logger} = this.#parts;
		const state = planner.classifyTraits(traits, this.#now);
		if (state.kind !== 'rejected' || this.#rejected.has(state.trait)) {
			return;
		}

		this.#rejected.add(state.trait);
		logger.warn({
			event: 'trait_rejected',
			service,
			trait: state.trait,
			crashes: state.crashes,
			rejectedFor: Math.round(state.rejectedFor),
			servers: this.describe(state.trait).map(({server}) => server),
		}, 'rejecting requests with a trait that crashes backend servers');
		for (const trait of this.#rejected) {
			if (this.#rejected.size <= maxRejectedLogged) {
				return;
			}

			this.#rejected.delete(trait);
		}
	}
}
