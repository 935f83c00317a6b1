/** Retry budget of the fleet: requests retries from the scheduling node and grants them when this node is it. */
import type {Clock, Logger, ServiceName} from '../../common/index.js';
import {
	computeValue, FleetRetryBudget, type FleetMembership, type PlanRequest, type RetryAllowance, type RetryHistory, type RetryLimits, type RetryRequest,
} from '../../planning/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {PeerClients} from '../peers/peer-rpc.js';
import type {Peers} from '../peers/peers.js';
import type {SchedulerSelector} from './scheduler-selector.js';

/** Dependencies of the retry budget. */
export type DistributedRetryBudgetParts = {
	clock: Clock;
	logger: Logger;
	peers: Peers;
	clients: PeerClients;
	schedulers: SchedulerSelector;
	/** Retry budget of the fleet for each service. */
	limits: RetryLimits;
	/** Number of nodes named in the settings, including this one: the fleet size to assume before heartbeats arrive. */
	countConfigured: () => number;
	/** Timeout for a response of the scheduling node, in milliseconds. */
	decisionTimeout: number;
	self: () => Peer;
};

/** Retry budget of a service: requests and retries in the window, share of the fleet whose history is known (0 to 1), and retries left. */
export type RetryBudget = {requests: number; retries: number; memory: number; left: number};

/** Retry budgets of all services. */
export class DistributedRetryBudget {
	readonly #parts: DistributedRetryBudgetParts;
	readonly #services = new Map<ServiceName, FleetRetryBudget>();
	readonly #startedAt: number;
	#limits: RetryLimits;

	constructor(parts: DistributedRetryBudgetParts) {
		this.#parts = parts;
		this.#limits = parts.limits;
		this.#startedAt = parts.clock.readMonotonic();
	}

	/** Changes the budgets of all services. */
	setAllowed(allowed: RetryAllowance): void {
		this.#limits = {...this.#limits, ...allowed};
		for (const retries of this.#services.values()) {
			retries.setAllowance(allowed);
		}
	}

	/** Records a request received by this node, whichever node schedules it. */
	recordOwn({service, promptTokens}: PlanRequest): void {
		this.#find(service).recordOwn(this.#now, computeValue(promptTokens), this.#parts.schedulers.select(service).life);
	}

	/** Records a request of any node that this node schedules. */
	recordDecided({service, promptTokens}: PlanRequest): void {
		this.#find(service).recordDecided(this.#now, computeValue(promptTokens));
	}

	/** Takes one retry from the fleet's budget, or else from this node's small local one; false when both are used up. */
	async take(request: RetryRequest): Promise<boolean> {
		const scheduler = this.#parts.schedulers.select(request.service);
		const retries = this.#find(request.service);
		const isGranted = scheduler.name === this.#parts.self().name ? this.grant(request) : await this.#askScheduler(scheduler, request);
		if (isGranted) {
			retries.recordGranted(this.#now, scheduler.life);
			return true;
		}

		return retries.takeFallback(this.#now, computeValue(request.promptTokens), this.#describeMembership());
	}

	/** Grants or denies a retry from the fleet's budget, as scheduling node. */
	grant(request: RetryRequest): boolean {
		const retries = this.#find(request.service);
		const now = this.#now;
		const membership = this.#describeMembership();
		const isGranted = retries.grant(now, computeValue(request.promptTokens), membership);
		if (!isGranted) {
			const {requests, retries: spent, memory} = retries.describeBudget(now, membership);
			this.#parts.logger.info({
				event: 'retry_refused', request: request.requestId, service: request.service, node: request.node, requests, spent, memory: Math.round(memory * 100) / 100, known: membership.known,
			}, 'the retry budget of the fleet is used up');
		}

		return isGranted;
	}

	/** Describes the retry history of this node for its new scheduling node. */
	describeOwn(service: ServiceName, scheduler: Peer): RetryHistory {
		const sender = {life: this.#parts.self().life, age: this.#computeAge(), known: this.countKnown()};
		return this.#find(service).describeHistory(this.#now, sender, scheduler.life);
	}

	/** Merges the retry history of a node that this one schedules for from now on. */
	mergeHistory(service: ServiceName, history: RetryHistory): void {
		this.#find(service).addHistory(history, this.#now);
	}

	/** Describes a service's budget as counted by this node; undefined before the first request. */
	describe(service: ServiceName): RetryBudget | undefined {
		const retries = this.#services.get(service);
		if (retries === undefined) {
			return undefined;
		}

		const now = this.#now;
		const membership = this.#describeMembership();
		const {memory, ...counts} = retries.describeBudget(now, membership);
		return {...counts, memory: Math.round(memory * 100) / 100, left: retries.countRemaining(now, membership)};
	}

	get #now(): number {
		return this.#parts.clock.readMonotonic();
	}

	/** Counts the known nodes of the fleet, including this one. */
	countKnown(): number {
		return Math.max(this.#parts.countConfigured(), this.#parts.peers.countKnown() + 1);
	}

	async #askScheduler(scheduler: Peer, request: RetryRequest): Promise<boolean> {
		const answer = await this.#parts.clients.ask(scheduler.peerAddress, this.#parts.decisionTimeout, async (client, signal) => client.grantRetry.mutate(request, {signal}));
		if (answer !== true) {
			this.#parts.logger.info({
				event: 'retry_not_granted', request: request.requestId, service: request.service, node: scheduler.name, answer,
			}, answer === undefined ? 'no response from the scheduling node; using the local retry budget' : 'the retry budget of the fleet is used up; using the local one');
		}

		return answer === true;
	}

	#find(service: ServiceName): FleetRetryBudget {
		let retries = this.#services.get(service);
		if (retries === undefined) {
			retries = new FleetRetryBudget(this.#limits);
			this.#services.set(service, retries);
		}

		return retries;
	}

	#describeMembership(): FleetMembership {
		const age = this.#computeAge();
		return {live: [{life: this.#parts.self().life, observedFor: age}, ...this.#parts.peers.listLiveAges()], known: this.countKnown(), age};
	}

	/** Computes the milliseconds since this node's process started. */
	#computeAge(): number {
		return this.#now - this.#startedAt;
	}
}
