/** Hands the running plans and the retry history of this node over to a new or restarted scheduling node, and takes over those of other nodes. */
import type {
	Clock, Logger, ServiceName, Timer,
} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Adoption, PeerClients} from '../peers/peer-rpc.js';
import type {Peers} from '../peers/peers.js';
import type {DistributedRetryBudget} from './distributed-retry-budget.js';
import type {PlanUpdateSender} from './plan-update-sender.js';
import type {SchedulerSelector} from './scheduler-selector.js';
import {emptyListRepeats, type ServicePlans, type ServicePlansRegistry} from './service-plans.js';

/** Timeout for handing state over to a new scheduling node, in milliseconds. */
const adoptionTimeout = 500;

/** Delay after a change of the peers before plans are handed over to a changed scheduling node, in milliseconds: while a fleet starts, the selection changes with each discovered node. */
const handoverDelay = 25;

/** Dependencies of the handover. */
export type SchedulerHandoverParts = {
	clock: Clock;
	logger: Logger;
	peers: Peers;
	clients: PeerClients;
	schedulers: SchedulerSelector;
	services: ServicePlansRegistry;
	retries: DistributedRetryBudget;
	updates: PlanUpdateSender;
	self: () => Peer;
};

/** Handover of all services. */
export class SchedulerHandover {
	readonly #parts: SchedulerHandoverParts;
	#timer: Timer | undefined;

	constructor(parts: SchedulerHandoverParts) {
		this.#parts = parts;
		parts.peers.addChangeListener(() => {
			this.#timer ??= parts.clock.setTimer(handoverDelay, () => {
				this.#timer = undefined;
				this.changeSchedulers();
			});
		});
	}

	/** Selects the scheduling nodes of all services again, and hands state over to those that changed. */
	changeSchedulers(): void {
		for (const [service, plans] of this.#parts.services.list()) {
			this.changeScheduler(service, plans, this.#parts.schedulers.select(service));
		}
	}

	/** Hands running plans and retry history over to a new or restarted scheduling node. */
	changeScheduler(service: ServiceName, plans: ServicePlans, scheduler: Peer): void {
		const isChanged = plans.scheduler?.life !== scheduler.life;
		if (isChanged) {
			if (plans.scheduler?.name === this.#parts.self().name) {
				plans.handover.reset();
			}

			this.#parts.logger.info({
				event: 'decider_changed', service, from: plans.scheduler?.name, to: scheduler.name, own: plans.ownPlans.size,
			}, 'the scheduling node of a service changed');
			plans.scheduler = {name: scheduler.name, life: scheduler.life};
			plans.emptyListsLeft = emptyListRepeats;
		}

		if (isChanged && !plans.isUsed) {
			this.#parts.updates.sendToNode(scheduler.name, service, {active: []});
		} else if (isChanged || plans.isAdoptionPending) {
			void this.#sendAdoption(service, plans, scheduler);
		}
	}

	/** Takes over a node from another scheduling node, with its running plans and retry history. */
	adopt({
		service, plans, crashRecords, limits, cold = [], history, usage = [],
	}: Adoption): void {
		this.#parts.retries.mergeHistory(service, history);
		const {
			planner, crashes, cold: replicatedCold, handover,
		} = this.#parts.services.findPlans(service);
		replicatedCold.merge(cold);
		const now = this.#parts.clock.readMonotonic();
		planner.adopt(plans, now);
		handover.record(history.life);
		planner.shares?.merge(usage, now);
		crashes.merge(crashRecords);
		for (const limit of limits) {
			planner.limits.update(limit, now);
		}
	}

	async #sendAdoption(service: ServiceName, plans: ServicePlans, scheduler: Peer): Promise<void> {
		const {
			clock, clients, retries, self,
		} = this.#parts;
		plans.isAdoptionPending = false;
		const adoption = {
			service,
			plans: [...plans.ownPlans.values()].map(plan => ({...plan, startIn: 0})),
			crashRecords: plans.crashes.describeAll(),
			limits: plans.limits.describe(),
			cold: plans.cold.describe(),
			history: retries.describeOwn(service, scheduler),
			usage: plans.planner.shares?.describe(clock.readMonotonic()),
		};
		if (scheduler.name === self().name) {
			retries.mergeHistory(service, adoption.history);
			return;
		}

		const answer = await clients.ask(scheduler.peerAddress, adoptionTimeout, async (client, signal) => client.adopt.mutate(adoption, {signal}));
		plans.isAdoptionPending ||= answer !== true && plans.scheduler?.life === scheduler.life;
	}
}
