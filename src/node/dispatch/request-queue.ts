/** Queues that order the waiting requests of a pool. Pure. */
import type {Either} from 'purify-ts';
import type {
	Failure, OrganisationId, PartnerId, RequestId, Timer,
} from '../../common/index.js';
import {FairClock} from './fair-clock.js';
import type {AdmitRequest, Grant} from './messages.js';

/** A waiting request. */
export type WaitingRequest = {
	request: AdmitRequest;
	partner: PartnerId;
	/** Sort key within its organisation, ascending. */
	order: number;
	/** Weight of its organisation within the partner. */
	weight: number;
	/** Agreed share of its partner in the pool. */
	share: number;
	/** Monotonic time of arrival, in milliseconds. */
	since: number;
	timer: Timer;
	resolve(result: Either<Failure, Grant>): void;
};

/** A charge for granted work, kept so that it can be corrected when the work ends. */
export type Charge = {
	partner: PartnerId;
	organisation: OrganisationId;
	/** Token-seconds charged. */
	cost: number;
	weight: number;
	share: number;
};

/** A queue of waiting requests. */
export abstract class RequestQueue {
	#size = 0;

	/** Number of requests waiting. */
	get size(): number {
		return this.#size;
	}

	/** Adds a request. */
	add(waiting: WaitingRequest): void {
		this.#size++;
		this.insert(waiting);
	}

	/** Removes a request; returns `undefined` if it is not queued. */
	remove(requestId: RequestId): WaitingRequest | undefined {
		const waiting = this.extract(requestId);
		if (waiting !== undefined) {
			this.#size--;
		}

		return waiting;
	}

	/** Removes all requests. */
	removeAll(): WaitingRequest[] {
		const all = [...this.listInOrder()];
		for (const waiting of all) {
			this.remove(waiting.request.requestId);
		}

		return all;
	}

	/** Removes idle flows whose charges are accounted for. */
	abstract prune(): void;

	/** Lists the waiting requests in the order of service. The queue must not change during iteration. */
	abstract listInOrder(): Iterable<WaitingRequest>;

	/** Charges the flow of a granted request; the cost is in token-seconds. */
	abstract charge(waiting: WaitingRequest, cost: number): Charge;

	/** Corrects a charge to the actual cost, in token-seconds. */
	abstract correct(charge: Charge, cost: number): void;

	protected abstract insert(waiting: WaitingRequest): void;
	protected abstract extract(requestId: RequestId): WaitingRequest | undefined;
}

/** Base of queues without shares: one list. */
abstract class ListQueue extends RequestQueue {
	protected readonly list: WaitingRequest[] = [];

	override charge(waiting: WaitingRequest, cost: number): Charge {
		return describeCharge(waiting, cost);
	}

	override correct(): void {
		// Charges do not affect the order.
	}

	override prune(): void {
		// There are no flows to remove.
	}

	override listInOrder(): Iterable<WaitingRequest> {
		return this.list;
	}

	protected override extract(requestId: RequestId): WaitingRequest | undefined {
		const index = this.list.findIndex(waiting => waiting.request.requestId === requestId);
		return index === -1 ? undefined : this.list.splice(index, 1)[0];
	}
}

/** Baseline: first come, first served. */
export class ArrivalQueue extends ListQueue {
	protected override insert(waiting: WaitingRequest): void {
		this.list.push(waiting);
	}
}

/** Baseline: shortest prompt first. */
export class ShortestQueue extends ListQueue {
	protected override insert(waiting: WaitingRequest): void {
		insertSorted(this.list, waiting, other => other.request.promptTokens > waiting.request.promptTokens);
	}
}

type OrganisationFlow = {
	id: OrganisationId;
	list: WaitingRequest[];
};

type PartnerFlow = {
	id: PartnerId;
	clock: FairClock<OrganisationId>;
	organisations: Map<OrganisationId, OrganisationFlow>;
};

/**
 * Two-level fair queueing: partners by their agreed shares, organisations by the weights of the partner's policy, and
 * the requests of an organisation by the order of that policy.
 */
export class FairQueue extends RequestQueue {
	readonly #clock = new FairClock<PartnerId>();
	readonly #partners = new Map<PartnerId, PartnerFlow>();

	override * listInOrder(): Iterable<WaitingRequest> {
		const partners = [...this.#partners.values()].filter(partner => partner.organisations.size > 0);
		sortByStartTag(partners, partner => this.#clock.readStartTag(partner.id), partner => findEarliestArrival(partner));
		for (const partner of partners) {
			yield * listPartner(partner);
		}
	}

	override charge(waiting: WaitingRequest, cost: number): Charge {
		const charge = describeCharge(waiting, cost);
		this.#clock.charge(charge.partner, cost, charge.share);
		this.#findPartner(charge.partner).clock.charge(charge.organisation, cost, charge.weight);
		return charge;
	}

	override correct(charge: Charge, cost: number): void {
		this.#clock.correct(charge.partner, cost - charge.cost, charge.share);
		this.#findPartner(charge.partner).clock.correct(charge.organisation, cost - charge.cost, charge.weight);
	}

	override prune(): void {
		for (const partner of this.#partners.values()) {
			partner.clock.prune();
		}
	}

	protected override insert(waiting: WaitingRequest): void {
		const partner = this.#findPartner(waiting.partner);
		const id = waiting.request.organisation;
		const flow = partner.organisations.get(id) ?? {id, list: []};
		partner.organisations.set(id, flow);
		insertSorted(flow.list, waiting, other => other.order > waiting.order);
	}

	protected override extract(requestId: RequestId): WaitingRequest | undefined {
		for (const partner of this.#partners.values()) {
			for (const flow of partner.organisations.values()) {
				const index = flow.list.findIndex(waiting => waiting.request.requestId === requestId);
				if (index === -1) {
					continue;
				}

				const [waiting] = flow.list.splice(index, 1);
				if (flow.list.length === 0) {
					partner.organisations.delete(flow.id);
				}

				return waiting;
			}
		}

		return undefined;
	}

	#findPartner(id: PartnerId): PartnerFlow {
		let partner = this.#partners.get(id);
		if (partner === undefined) {
			partner = {id, clock: new FairClock(), organisations: new Map()};
			this.#partners.set(id, partner);
		}

		return partner;
	}
}

function * listPartner(partner: PartnerFlow): Iterable<WaitingRequest> {
	const flows = [...partner.organisations.values()];
	sortByStartTag(flows, flow => partner.clock.readStartTag(flow.id), flow => flow.list[0].since);
	// Interleaves the flows: the second request of one organisation comes after the first of every other.
	const maxLength = Math.max(...flows.map(flow => flow.list.length));
	for (let rank = 0; rank < maxLength; rank++) {
		for (const flow of flows) {
			if (rank < flow.list.length) {
				yield flow.list[rank];
			}
		}
	}
}

function sortByStartTag<Flow>(flows: Flow[], readStartTag: (flow: Flow) => number, readArrival: (flow: Flow) => number): void {
	const keyed = flows.map(flow => ({flow, start: readStartTag(flow), since: readArrival(flow)}));
	keyed.sort((left, right) => left.start - right.start || left.since - right.since);
	for (const [index, {flow}] of keyed.entries()) {
		flows[index] = flow;
	}
}

function findEarliestArrival(partner: PartnerFlow): number {
	let earliest = Number.POSITIVE_INFINITY;
	for (const flow of partner.organisations.values()) {
		earliest = Math.min(earliest, flow.list[0].since);
	}

	return earliest;
}

function insertSorted(list: WaitingRequest[], waiting: WaitingRequest, isAfter: (other: WaitingRequest) => boolean): void {
	let index = list.length;
	while (index > 0 && isAfter(list[index - 1])) {
		index--;
	}

	list.splice(index, 0, waiting);
}

function describeCharge(waiting: WaitingRequest, cost: number): Charge {
	return {
		partner: waiting.partner, organisation: waiting.request.organisation, cost, weight: waiting.weight, share: waiting.share,
	};
}
