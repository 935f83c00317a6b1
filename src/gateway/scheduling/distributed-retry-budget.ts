/** The fleet's budget of retries, as one node takes part in it: asks the deciding node, grants for others, and remembers. */
import type {Clock, Logger, ServiceName} from '../../common/index.js';
import {
	computeValue, FleetRetryBudget, type FleetMembership, type PlanRequest, type RetryAllowance, type RetryHistory, type RetryLimits, type RetryRequest,
} from '../../planning/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {PeerClients} from '../peers/peer-rpc.js';
import type {Peers} from '../peers/peers.js';
import type {SchedulerSelector} from './scheduler-selector.js';

/** What a node's part in the budget needs. */
export type DistributedRetryBudgetParts = {
	clock: Clock;
	logger: Logger;
	peers: Peers;
	clients: PeerClients;
	schedulers: SchedulerSelector;
	/** The fleet's budget of retries for each service. */
	limits: RetryLimits;
	/** Nodes that the settings tell of, this one among them: those that a node knows which has just started and hears nobody. */
	countConfigured: () => number;
	/** Time for an answer of the deciding node, in milliseconds. */
	decisionTimeout: number;
	self: () => Peer;
};

/** A service's budget of retries: requests and retries of the window, the part of the fleet whose memory of it is known, and what is left. */
export type RetryBudget = {requests: number; retries: number; memory: number; left: number};

/** Retries of all services. */
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

	/** Changes how much is allowed, for all services. */
	setAllowed(allowed: RetryAllowance): void {
		this.#limits = {...this.#limits, ...allowed};
		for (const retries of this.#services.values()) {
			retries.setAllowance(allowed);
		}
	}

	/** Notes a request of this node, whoever decides it. */
	recordOwn({service, promptTokens}: PlanRequest): void {
		this.#find(service).recordOwn(this.#now, computeValue(promptTokens), this.#parts.schedulers.select(service).life);
	}

	/** Notes a request of any node that this one decides. */
	recordDecided({service, promptTokens}: PlanRequest): void {
		this.#find(service).recordDecided(this.#now, computeValue(promptTokens));
	}

	/** Takes one retry out of the fleet's budget, or out of this node's own small part; false when none is left. */
	async take(request: RetryRequest): Promise<boolean> {
		const scheduler = this.#parts.schedulers.select(request.service);
		const retries = this.#find(request.service);
		const isGranted = scheduler.name === this.#parts.self().name ? this.grant(request) : await this.#askScheduler(scheduler, request);
		if (isGranted) {
			retries.recordGranted(this.#now, scheduler.life);
			return true;
		}

		return retries.takeFallback(this.#now, computeValue(request.promptTokens), this.#readReach());
	}

	/** Grants a retry out of the fleet's budget to a node that asked. */
	grant(request: RetryRequest): boolean {
		const retries = this.#find(request.service);
		const now = this.#now;
		const reach = this.#readReach();
		const isGranted = retries.grant(now, computeValue(request.promptTokens), reach);
		if (!isGranted) {
			const {requests, retries: spent, memory} = retries.describeBudget(now, reach);
			this.#parts.logger.info({
				event: 'retry_refused', request: request.requestId, service: request.service, node: request.node, requests, spent, memory: Math.round(memory * 100) / 100, known: reach.known,
			}, 'the budget of the fleet is spent');
		}

		return isGranted;
	}

	/** What this node is to tell a node that decides for it from now on. */
	describeOwn(service: ServiceName, scheduler: Peer): RetryHistory {
		const sender = {life: this.#parts.self().life, age: this.#computeAge(), known: this.countKnown()};
		return this.#find(service).describeHistory(this.#now, sender, scheduler.life);
	}

	/** Takes what a node remembers that asks this one from now on. */
	mergeHistory(service: ServiceName, history: RetryHistory): void {
		this.#find(service).addHistory(history, this.#now);
	}

	/** What is left of a service's budget, as its deciding node counts; undefined where nothing was counted yet. */
	describe(service: ServiceName): RetryBudget | undefined {
		const retries = this.#services.get(service);
		if (retries === undefined) {
			return undefined;
		}

		const now = this.#now;
		const reach = this.#readReach();
		const {memory, ...counts} = retries.describeBudget(now, reach);
		return {...counts, memory: Math.round(memory * 100) / 100, left: retries.countRemaining(now, reach)};
	}

	get #now(): number {
		return this.#parts.clock.readMonotonic();
	}

	/** Nodes of the fleet as far as this one knows, itself among them. */
	countKnown(): number {
		return Math.max(this.#parts.countConfigured(), this.#parts.peers.countKnown() + 1);
	}

	async #askScheduler(scheduler: Peer, request: RetryRequest): Promise<boolean> {
		const answer = await this.#parts.clients.ask(scheduler.peerAddress, this.#parts.decisionTimeout, async (client, signal) => client.grantRetry.mutate(request, {signal}));
		if (answer !== true) {
			this.#parts.logger.info({
				event: 'retry_not_granted', request: request.requestId, service: request.service, node: scheduler.name, answer,
			}, answer === undefined ? 'the deciding node does not answer; this node uses its own part of the budget' : 'the budget of the fleet is spent; this node uses its own part');
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

	#readReach(): FleetMembership {
		const age = this.#computeAge();
		return {live: [{life: this.#parts.self().life, observedFor: age}, ...this.#parts.peers.listLiveAges()], known: this.countKnown(), age};
	}

	/** Milliseconds since this node's process started. */
	#computeAge(): number {
		return this.#now - this.#startedAt;
	}
}
