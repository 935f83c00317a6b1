/**
 * Scheduling by one node for the whole fleet, with failover.
 *
 * All nodes select the same scheduling node for a service. A node that gets no response in time schedules the request
 * itself from the plans it knows of. Such plans may conflict: a server then refuses a request, but no guarantee is broken.
 */
import {
	Left, Right, type Either,
} from 'purify-ts';
import type {
	BackendServerId, BoxId, Clock, Failure, IdSource, Logger, ServiceName,
} from '../../common/index.js';
import {
	isFirstAttempt, listTraits,
	type ColdAllowance, type Decision, type Plan, type PlanEvent, type PlannedServerStatus, type Planner, type PlanRequest, type RetryAllowance, type RetryLimits, type RetryRequest,
} from '../../planning/index.js';
import type {FleetState} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {Adoption, DecisionAnswer, PeerClients} from '../peers/peer-rpc.js';
import type {PeerSocket} from '../peers/peer-socket.js';
import type {PlanUpdate} from '../peers/plan-update.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Peers} from '../peers/peers.js';
import {Placer, type PlacementAnswer, type Placement} from '../calls/placer.js';
import type {ServerNotice} from '../calls/server-notice.js';
import {SchedulerSelector} from './scheduler-selector.js';
import {PlanEventReporter} from './plan-event-reporter.js';
import {PlanUpdateSender} from './plan-update-sender.js';
import {LocalDecider} from './local-decider.js';
import {SchedulerHandover} from './scheduler-handover.js';
import {ServerNotices} from './server-notices.js';
import {emptyListRepeats, ServicePlansRegistry} from './service-plans.js';
import {DistributedRetryBudget, type RetryBudget} from './distributed-retry-budget.js';

/** Timeout for a response of the scheduling node, in milliseconds: a process that has used up its CPU quota is paused for most of 100 ms. */
const decisionTimeout = 90;

/** Time for which a node that did not respond is bypassed, in milliseconds: a dead one is then detected by its heartbeats. */
const slowNodeBypass = 600;

/** Time between two lists of the running plans of a node, in milliseconds. */
const reconcileInterval = 1000;

/** Dependencies of the placer. */
export type FleetPlacerParts = {
	clock: Clock;
	logger: Logger;
	metrics: GatewayMetrics;
	ids: IdSource;
	state: FleetState;
	peers: Peers;
	clients: PeerClients;
	socket: PeerSocket;
	/** Number of nodes named in the settings, including this one: the fleet size to assume before heartbeats arrive. */
	countConfigured: () => number;
	/** Retry budget of the fleet for each service. */
	retries: RetryLimits;
	/** What is allowed beyond the rates of cold servers; undefined when they are not limited. */
	coldAllowance?: ColdAllowance;
	/** How long the usage of organisations is remembered, in milliseconds; undefined when they have no shares. */
	sharesMemory?: number;
	self: () => Peer;
};

/** Status of a service as known to one node. */
export type ServiceWork = {
	service: ServiceName;
	/** The scheduling node selected by this one. */
	decider: {name: BoxId; life: string; host: string; isSelf: boolean};
	/** Number of plans in progress and of prompts waiting to be read. */
	plans: number;
	waiting: number;
	/** Present only if this node is the scheduling node. */
	retries?: RetryBudget;
	usableServers: number;
	/** The busiest servers; empty before the first request. */
	servers: PlannedServerStatus[];
};

/** Obtains plans from the scheduling node; makes them itself if this is the scheduling node or that node does not respond. */
export class FleetPlacer extends Placer {
	readonly #parts: FleetPlacerParts;
	readonly #services: ServicePlansRegistry;
	readonly #schedulers: SchedulerSelector;
	readonly #retries: DistributedRetryBudget;
	readonly #updates: PlanUpdateSender;
	readonly #handover: SchedulerHandover;
	readonly #decider: LocalDecider;
	readonly #notices: ServerNotices;
	readonly #events: PlanEventReporter;
	#reconciledAt = 0;

	constructor(parts: FleetPlacerParts) {
		super();
		this.#parts = parts;
		this.#schedulers = new SchedulerSelector(parts.clock, parts.peers, parts.self);
		const {
			clock, logger, peers, clients, countConfigured, self,
		} = parts;
		this.#updates = new PlanUpdateSender(parts.socket, peers, this.#schedulers, () => self().name);
		this.#retries = new DistributedRetryBudget({
			clock, logger, peers, clients, schedulers: this.#schedulers, limits: parts.retries, countConfigured, decisionTimeout, self,
		});
		this.#services = new ServicePlansRegistry({...parts, updates: this.#updates});
		const shared = {
			...parts, schedulers: this.#schedulers, services: this.#services, retries: this.#retries, updates: this.#updates,
		};
		this.#decider = new LocalDecider(shared);
		this.#handover = new SchedulerHandover(shared);
		this.#notices = new ServerNotices(shared);
		this.#events = new PlanEventReporter(shared);
		parts.peers.addLostListener(peer => {
			for (const [, {planner}] of this.#services.list()) {
				planner.releaseNode(peer.name, parts.clock.readMonotonic());
			}
		});
	}

	override async place(request: PlanRequest): Promise<Either<Failure, PlacementAnswer>> {
		const started = this.#parts.clock.readMonotonic();
		if (isFirstAttempt(request)) {
			this.#retries.recordOwn(request);
		}

		const {decidedBy, result} = await this.#decide(this.#notices.addTo(this.#addCrashes(request)));
		this.#parts.metrics.recordPlacement(decidedBy, this.#parts.clock.readMonotonic() - started);
		return result.map(decision => {
			if (decision.kind === 'wait') {
				return {askAgainIn: decision.askAgainIn};
			}

			this.#mergeCrashes(decision.plan.request);
			this.#services.findPlans(request.service).ownPlans.set(decision.plan.planId, decision.plan);
			return {plan: decision.plan, decidedBy};
		});
	}

	override report(plan: Plan, event: PlanEvent): void {
		this.#events.report(plan, event);
	}

	override recordNotice(service: ServiceName, server: BackendServerId, notice: ServerNotice): void {
		this.#notices.record(service, server, notice);
	}

	override isResting(service: ServiceName, server: BackendServerId): boolean {
		return this.#notices.isResting(service, server);
	}

	/** Schedules a request for another node. A refusal because of crashes includes them, as that node may have to schedule alone later. */
	decideFor(request: PlanRequest): DecisionAnswer {
		this.#services.findPlans(request.service).leaving.merge(request.leaving ?? [], request.node);
		return this.#decider.decideAsScheduler(request).caseOf<DecisionAnswer>({
			Left: failure => this.#describeRefusal(request, failure),
			Right: decision => ({decision}),
		});
	}

	override async takeRetry(request: RetryRequest): Promise<boolean> {
		return this.#retries.take(request);
	}

	/** Grants or denies another node a retry from the fleet's budget. */
	grantRetry(request: RetryRequest): boolean {
		return this.#retries.grant(request);
	}

	/** Changes the retry budget. */
	setAllowedRetries(allowed: RetryAllowance): void {
		this.#retries.setAllowed(allowed);
	}

	/** Applies an update of a node that runs plans; plans missing from its list have ended. */
	applyPlanUpdate({
		service, node, notes, active, crashRecords = [], limits = [], leaving = [], cold = [], usage = [],
	}: PlanUpdate): void {
		const {
			planner, crashes, limits: replicatedLimits, leaving: leavingNotices, cold: replicatedCold, handover,
		} = this.#services.findPlans(service);
		leavingNotices.merge(leaving, node);
		replicatedCold.merge(cold);
		for (const limit of limits) {
			replicatedLimits.merge(limit, node);
		}

		crashes.merge(crashRecords);
		planner.shares?.merge(usage, this.#parts.clock.readMonotonic());
		for (const event of notes) {
			this.#events.apply(planner, event);
			if (event.kind === 'server_ended') {
				crashes.replicateReported(event);
			} else if (event.kind === 'survived') {
				crashes.logCleared(listTraits(event));
			}
		}

		const life = this.#parts.peers.findLive(node)?.life;
		if (active !== undefined && life !== undefined && planner.hasPlans(active)) {
			handover.record(life);
		}

		if (active !== undefined && node !== this.#parts.self().name) {
			this.#decider.recordReport(service, node);
		}

		const forgotten = active === undefined ? 0 : planner.reconcile(node, new Set(active), this.#parts.clock.readMonotonic());
		if (forgotten > 0) {
			this.#parts.logger.info({
				event: 'plans_reconciled', service, node, forgotten, active: active?.length,
			}, 'removed plans whose end or decision was lost');
		}
	}

	/** Takes over a node from another scheduling node, with its running plans and retry history. */
	adopt(adoption: Adoption): void {
		this.#handover.adopt(adoption);
	}

	/** Sends the list of running plans to the scheduling nodes once a second, as plan events may have been lost. */
	tick(): void {
		const now = this.#parts.clock.readMonotonic();
		if (now - this.#reconciledAt < reconcileInterval) {
			return;
		}

		this.#reconciledAt = now;
		this.#parts.state.coldServers.prune();
		const self = this.#parts.self().name;
		// Also for services without requests here: the scheduling node has to know that this node runs nothing.
		for (const {name} of this.#parts.state.table?.config.services ?? []) {
			this.#services.findPlans(name);
		}

		this.#handover.changeSchedulers();
		for (const [service, plans] of this.#services.list()) {
			this.#decider.measureSelection(service, plans, this.#schedulers.select(service));
			const active = [...plans.ownPlans.keys()];
			this.applyPlanUpdate({
				service, node: self, notes: [], active,
			});
			plans.emptyListsLeft = plans.ownPlans.size > 0 ? emptyListRepeats : plans.emptyListsLeft - 1;
			if (plans.emptyListsLeft >= 0) {
				this.#updates.sendToNode(plans.scheduler?.name, service, {active});
			}

			if (plans.scheduler?.name === self) {
				plans.crashes.replicateToNewNodes();
				plans.limits.replicate();
				plans.cold.replicate();
				plans.leaving.replicate();
				this.#replicateUsage(service, plans.planner);
			}
		}
	}

	/** Describes a service as known to this node; only the scheduling node knows all of its plans. */
	describe(service: ServiceName, maxServers: number): ServiceWork {
		const self = this.#parts.self();
		const {name, life, peerAddress} = this.#schedulers.select(service);
		const isSelf = name === self.name;
		const planner = this.#services.findCreated(service)?.planner;
		const servers = planner?.describeServers(this.#parts.clock.readMonotonic(), maxServers) ?? [];
		return {
			service,
			decider: {
				name, life, host: peerAddress.split(':')[0], isSelf,
			},
			plans: planner?.planCount ?? 0,
			waiting: planner?.waitingCount ?? 0,
			retries: isSelf ? this.#retries.describe(service) : undefined,
			usableServers: this.#parts.state.listServers(service).length,
			servers,
		};
	}

	/** Sends the usage of organisations to the node that would take over: it then knows all but the last second. */
	#replicateUsage(service: ServiceName, planner: Planner): void {
		const usage = planner.shares?.describe(this.#parts.clock.readMonotonic()) ?? [];
		if (usage.length > 0) {
			this.#updates.sendToSuccessors(service, false, {usage});
		}
	}

	/** Adds what the asking node may not know yet and needs to decide what follows a refusal. */
	#describeRefusal({service, fingerprint, parts = []}: PlanRequest, failure: Failure): DecisionAnswer {
		if (failure.kind === 'ends_servers') {
			const {crashes} = this.#services.findPlans(service);
			return {failure, crashes: crashes.describe(fingerprint), partCrashes: crashes.describeTraits(parts)};
		}

		const evacuations = failure.kind === 'no_backend_server' ? this.#parts.state.evacuations?.takeSnapshot() : undefined;
		return evacuations === undefined ? {failure} : {failure, evacuations};
	}

	/** Adds known crashes to a request: a new scheduling node gets the records from the nodes that proxied the request. */
	#addCrashes(request: PlanRequest): PlanRequest {
		const crashes = this.#services.findPlans(request.service).crashes.describe(request.fingerprint);
		return crashes.length === 0 ? request : {...request, crashes};
	}

	#mergeCrashes({fingerprint, crashes = [], service}: PlanRequest): void {
		if (fingerprint !== undefined && crashes.length > 0) {
			this.#services.findPlans(service).crashes.merge([[fingerprint, crashes]]);
		}
	}

	async #decide(original: PlanRequest): Promise<{decidedBy: Placement['decidedBy']; result: Either<Failure, Decision>}> {
		const plans = this.#services.findPlans(original.service);
		const self = this.#parts.self();
		const scheduler = this.#schedulers.select(original.service);
		plans.isAdoptionPending ||= !plans.isUsed;
		plans.isUsed = true;
		this.#handover.changeScheduler(original.service, plans, scheduler);
		const request = this.#decider.addSelection(original, plans, scheduler);
		if (scheduler.name === self.name) {
			return {decidedBy: 'self', result: this.#decider.decideAsScheduler(request)};
		}

		const answer = await this.#parts.clients.ask(scheduler.peerAddress, decisionTimeout, async (client, signal) => client.decide.mutate(request, {signal}));
		if (answer?.decision?.kind === 'plan') {
			plans.planner.adopt([answer.decision.plan], this.#parts.clock.readMonotonic());
		}

		this.#mergeCrashes({...request, crashes: answer?.crashes});
		plans.crashes.merge(answer?.partCrashes ?? []);
		if (answer?.decision !== undefined) {
			return {decidedBy: 'planner', result: Right(answer.decision)};
		}

		if (answer?.evacuations !== undefined) {
			this.#parts.state.evacuations?.applySnapshot(answer.evacuations, `node ${scheduler.name}`);
		}

		// A recently started node may lack servers known here; servers excluded by the request do not count as missing.
		const isMissingServers = answer?.failure?.kind === 'no_backend_server' && this.#parts.state.listServers(request.service).some(server => !request.excluded.includes(server.id));
		if (answer?.failure !== undefined && !isMissingServers) {
			return {decidedBy: 'planner', result: Left(answer.failure)};
		}

		this.#parts.peers.markSlow(scheduler.name, slowNodeBypass);
		this.#parts.logger.warn({
			event: 'decider_passed_over', request: request.requestId, node: scheduler.name, reason: isMissingServers ? 'it knows no server' : `no answer within ${decisionTimeout} ms`,
		}, 'bypassed the scheduling node; this node schedules by itself');
		return {decidedBy: 'fallback', result: this.#decider.decideAsFallback(request)};
	}
}
