/**
 * Scheduling by one node for the whole fleet, with failover.
 *
 * All nodes select the same scheduling node for a service. A node that gets no response in time schedules the request
 * itself from the plans it knows of. Such plans may conflict: a server then refuses a request, but no guarantee is broken.
 */
import {
	Left, Right, type Either,
} from 'purify-ts';
import {
	type BackendServerId, type BoxId, type Clock, type Failure, type IdSource, type Logger, type PlanId, type ServiceName, type Timer,
} from '../../common/index.js';
import {
	isFirstAttempt, Planner, RestingServers,
	type Decision, type Plan, type PlanEvent, type PlanRequest, type RetryAllowance, type RetryLimits, type RestingServer, type RetryRequest, type PlannedServerStatus,
} from '../../planning/index.js';
import type {EngineProfile, FleetState} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {Adoption, DecisionAnswer, PeerClients} from '../peers/peer-rpc.js';
import type {PeerSocket} from '../peers/peer-socket.js';
import type {PlanUpdate} from '../peers/plan-update.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Peers} from '../peers/peers.js';
import {Placer, type PlacementAnswer, type Placement} from '../calls/placer.js';
import type {ServerNotice} from '../calls/server-notice.js';
import {SchedulerSelector} from './scheduler-selector.js';
import {logDecision, logReadOverrun} from './decision-log.js';
import {PlanUpdateSender} from './plan-update-sender.js';
import {LeavingNotices} from './leaving-notices.js';
import {ReplicatedCrashes} from './replicated-crashes.js';
import {ReplicatedLimits} from './replicated-limits.js';
import {DistributedRetryBudget, type RetryBudget} from './distributed-retry-budget.js';

/** Timeout for a response of the scheduling node, in milliseconds: a process that has used up its CPU quota is paused for most of 100 ms. */
const decisionTimeout = 90;

/** Time for which a node that did not respond is bypassed, in milliseconds: a dead one is then detected by its heartbeats. */
const slowNodeBypass = 600;

/** Time for which plan events are batched, in milliseconds. */
const eventBatchDelay = 8;

/** Share of the servers' request limits available to all nodes that schedule in place of the scheduling node. */
const fallbackLimitShare = 0.3;

/** Timeout for handing state over to a new scheduling node, in milliseconds. */
const adoptionTimeout = 500;

/** Time between two lists of the running plans of a node, in milliseconds. */
const reconcileInterval = 1000;

/** Number of empty lists sent after the last plan has ended, as any of them may be lost. Idle nodes send nothing after that. */
const emptyListRepeats = 3;

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
	self: () => Peer;
};

/** Scheduling state of one service on this node. */
type ServicePlans = {
	planner: Planner;
	/** Plans that this node is running. */
	ownPlans: Map<PlanId, Plan>;
	/** The scheduling node selected last. */
	scheduler: Pick<Peer, 'name' | 'life'> | undefined;
	/** Whether that node may lack the running plans and retries of this one. */
	isAdoptionPending: boolean;
	pendingEvents: PlanEvent[];
	crashes: ReplicatedCrashes;
	limits: ReplicatedLimits;
	leaving: LeavingNotices;
	/** Servers that have asked this node for rest. */
	resting: RestingServers;
	/** Number of empty lists still to send. */
	emptyListsLeft: number;
	eventTimer: Timer | undefined;
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
	readonly #services = new Map<ServiceName, ServicePlans>();
	readonly #schedulers: SchedulerSelector;
	readonly #retries: DistributedRetryBudget;
	readonly #updates: PlanUpdateSender;
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
		parts.state.addListener(() => {
			this.#refreshServers();
		});
		parts.peers.addLostListener(peer => {
			for (const {planner} of this.#services.values()) {
				planner.releaseNode(peer.name, parts.clock.readMonotonic());
			}
		});
	}

	override async place(request: PlanRequest): Promise<Either<Failure, PlacementAnswer>> {
		const started = this.#parts.clock.readMonotonic();
		if (isFirstAttempt(request)) {
			this.#retries.recordOwn(request);
		}

		const {decidedBy, result} = await this.#decide(this.#addNotices(this.#addCrashes(request)));
		this.#parts.metrics.recordPlacement(decidedBy, this.#parts.clock.readMonotonic() - started);
		return result.map(decision => {
			if (decision.kind === 'wait') {
				return {askAgainIn: decision.askAgainIn};
			}

			this.#mergeCrashes(decision.plan.request);
			this.#findPlans(request.service).ownPlans.set(decision.plan.planId, decision.plan);
			return {plan: decision.plan, decidedBy};
		});
	}

	override report(plan: Plan, event: PlanEvent): void {
		const {service, fingerprint} = plan.request;
		const plans = this.#findPlans(service);
		this.#applyEvent(plans.planner, event);
		if (event.kind === 'ended') {
			plans.ownPlans.delete(plan.planId);
		}

		this.#queueEvent(service, plans, event);
		if (event.kind === 'server_ended') {
			plans.crashes.replicateOwn(event);
		} else if (event.kind === 'ended' && event.wasAnswered === true && fingerprint !== undefined && plans.planner.crashRecords.has(fingerprint)) {
			const survived: PlanEvent = {planId: plan.planId, kind: 'survived', fingerprint};
			const isBroadcast = plans.crashes.hasRepeated(fingerprint);
			this.#applyEvent(plans.planner, survived);
			this.#queueEvent(service, plans, survived);
			this.#updates.sendToSuccessors(service, isBroadcast, {notes: [survived]});
		}
	}

	override recordNotice(service: ServiceName, server: BackendServerId, notice: ServerNotice): void {
		switch (notice.kind) {
			case 'limit': {
				this.#recordLimit(service, server, notice.requestsPerSecond);
				break;
			}

			case 'leaving': {
				this.#findPlans(service).leaving.recordAnswer(server);
				break;
			}

			case 'rest': {
				this.#recordRest(service, {server, time: notice.time});
				break;
			}
		}
	}

	override isResting(service: ServiceName, server: BackendServerId): boolean {
		return this.#findPlans(service).resting.computeRestLeft(server, this.#parts.clock.readMonotonic()) > 0;
	}

	/** Schedules a request for another node. A refusal because of crashes includes them, as that node may have to schedule alone later. */
	decideFor(request: PlanRequest): DecisionAnswer {
		this.#findPlans(request.service).leaving.merge(request.leaving ?? [], request.node);
		return this.#decideAsScheduler(request).caseOf<DecisionAnswer>({
			Left: failure => failure.kind === 'ends_servers' ? {failure, crashes: this.#findPlans(request.service).crashes.describe(request.fingerprint)} : {failure},
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
		service, node, notes, active, crashRecords = [], limits = [], leaving = [],
	}: PlanUpdate): void {
		const {planner, crashes, limits: replicatedLimits, leaving: leavingNotices} = this.#findPlans(service);
		leavingNotices.merge(leaving, node);
		for (const limit of limits) {
			replicatedLimits.merge(limit, node);
		}

		crashes.merge(crashRecords);
		for (const event of notes) {
			this.#applyEvent(planner, event);
			if (event.kind === 'server_ended') {
				crashes.replicateReported(event);
			}
		}

		const forgotten = active === undefined ? 0 : planner.reconcile(node, new Set(active), this.#parts.clock.readMonotonic());
		if (forgotten > 0) {
			this.#parts.logger.info({
				event: 'plans_reconciled', service, node, forgotten, active: active?.length,
			}, 'removed plans whose end or decision was lost');
		}
	}

	/** Takes over a node from another scheduling node, with its running plans and retry history. */
	adopt({
		service, plans, crashRecords, limits, history,
	}: Adoption): void {
		this.#retries.mergeHistory(service, history);
		const {planner, crashes} = this.#findPlans(service);
		const now = this.#parts.clock.readMonotonic();
		planner.adopt(plans, now);
		crashes.merge(crashRecords);
		for (const limit of limits) {
			planner.limits.update(limit, now);
		}
	}

	/** Sends the list of running plans to the scheduling nodes once a second, as plan events may have been lost. */
	tick(): void {
		const now = this.#parts.clock.readMonotonic();
		if (now - this.#reconciledAt < reconcileInterval) {
			return;
		}

		this.#reconciledAt = now;
		const self = this.#parts.self().name;
		for (const [service, plans] of this.#services) {
			this.#changeScheduler(service, plans, this.#schedulers.select(service));
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
				plans.leaving.replicate();
			}
		}
	}

	/** Describes a service as known to this node; only the scheduling node knows all of its plans. */
	describe(service: ServiceName, maxServers: number): ServiceWork {
		const self = this.#parts.self();
		const {name, life, peerAddress} = this.#schedulers.select(service);
		const isSelf = name === self.name;
		const planner = this.#services.get(service)?.planner;
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

	#recordLimit(service: ServiceName, server: BackendServerId, requestsPerSecond: number | undefined): void {
		const plans = this.#findPlans(service);
		const report = plans.limits.recordAnswer(server, requestsPerSecond, this.#parts.self().name);
		if (report !== undefined) {
			this.#updates.sendToNode(plans.scheduler?.name, service, {limits: [report]});
		}
	}

	#recordRest(service: ServiceName, rest: RestingServer): void {
		if (this.#findPlans(service).resting.add(rest, this.#parts.clock.readMonotonic())) {
			this.#parts.logger.info({event: 'server_resting', service, ...rest}, 'a backend server asked this node to send it no requests for a while');
		}
	}

	/** Adds known crashes to a request: a new scheduling node gets the records from the nodes that proxied the request. */
	#addCrashes(request: PlanRequest): PlanRequest {
		const crashes = this.#findPlans(request.service).crashes.describe(request.fingerprint);
		return crashes.length === 0 ? request : {...request, crashes};
	}

	/** Adds the leaving and resting servers known to this node: a request never goes to one of them, even if the scheduling node has not heard of it. */
	#addNotices(request: PlanRequest): PlanRequest {
		const plans = this.#findPlans(request.service);
		const leaving = plans.leaving.list();
		const resting = plans.resting.list(this.#parts.clock.readMonotonic());
		return {...request, ...(leaving.length > 0 && {leaving}), ...(resting.length > 0 && {resting})};
	}

	#mergeCrashes({fingerprint, crashes = [], service}: PlanRequest): void {
		if (fingerprint !== undefined && crashes.length > 0) {
			this.#findPlans(service).crashes.merge([[fingerprint, crashes]]);
		}
	}

	#applyEvent(planner: Planner, event: PlanEvent): void {
		const overrun = planner.recordEvent(event, this.#parts.clock.readMonotonic());
		if (overrun !== undefined) {
			logReadOverrun(this.#parts.logger, overrun);
		}
	}

	#decideAsScheduler(request: PlanRequest): Either<Failure, Decision> {
		const seen = this.#parts.peers.countLive() + 1;
		const known = this.#retries.countKnown();
		const limitShare = this.#schedulers.isPreferred(request.service) ? Math.min(1, seen / known) : fallbackLimitShare / known;
		return this.#decideLocally(request, seen, limitShare);
	}

	/** Decides from the plans known here: those of `seen` nodes that ask this one, itself included. */
	#decideLocally(request: PlanRequest, seen: number, limitShare = fallbackLimitShare / this.#retries.countKnown()): Either<Failure, Decision> {
		const {planner} = this.#findPlans(request.service);
		const now = this.#parts.clock.readMonotonic();
		if (isFirstAttempt(request)) {
			this.#retries.recordDecided(request);
		}

		const {logger, state} = this.#parts;
		const visibility = {seen, known: this.#retries.countKnown()};
		const decided = planner.decide(request, now, visibility, limitShare);
		logDecision(logger, request, decided, {
			inProgress: planner.planCount, configVersion: state.configVersion, serversRevision: state.serversRevision, ...visibility,
		});
		decided.ifRight(decision => {
			if (decision.kind === 'plan' && decision.plan.avoided !== undefined) {
				this.#parts.metrics.countAvoidance(request.service, 'failures');
			}
		});
		return decided;
	}

	async #decide(request: PlanRequest): Promise<{decidedBy: Placement['decidedBy']; result: Either<Failure, Decision>}> {
		const plans = this.#findPlans(request.service);
		const self = this.#parts.self();
		const scheduler = this.#schedulers.select(request.service);
		this.#changeScheduler(request.service, plans, scheduler);
		if (scheduler.name === self.name) {
			return {decidedBy: 'self', result: this.#decideAsScheduler(request)};
		}

		const answer = await this.#parts.clients.ask(scheduler.peerAddress, decisionTimeout, async (client, signal) => client.decide.mutate(request, {signal}));
		if (answer?.decision?.kind === 'plan') {
			plans.planner.adopt([answer.decision.plan], this.#parts.clock.readMonotonic());
		}

		this.#mergeCrashes({...request, crashes: answer?.crashes});
		if (answer?.decision !== undefined) {
			return {decidedBy: 'planner', result: Right(answer.decision)};
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
		return {decidedBy: 'fallback', result: this.#decideLocally(request, 1)};
	}

	/** Hands running plans and retry history over to a new or restarted scheduling node. */
	#changeScheduler(service: ServiceName, plans: ServicePlans, scheduler: Peer): void {
		const isChanged = plans.scheduler?.life !== scheduler.life;
		if (isChanged) {
			this.#parts.logger.info({
				event: 'decider_changed', service, from: plans.scheduler?.name, to: scheduler.name, own: plans.ownPlans.size,
			}, 'the scheduling node of a service changed');
			plans.scheduler = {name: scheduler.name, life: scheduler.life};
			plans.emptyListsLeft = emptyListRepeats;
		}

		if (isChanged || plans.isAdoptionPending) {
			void this.#sendAdoption(service, plans, scheduler);
		}
	}

	async #sendAdoption(service: ServiceName, plans: ServicePlans, scheduler: Peer): Promise<void> {
		plans.isAdoptionPending = false;
		const adoption = {
			service,
			plans: [...plans.ownPlans.values()].map(plan => ({...plan, startIn: 0})),
			crashRecords: plans.crashes.describeAll(),
			limits: plans.limits.describe(),
			history: this.#retries.describeOwn(service, scheduler),
		};
		if (scheduler.name === this.#parts.self().name) {
			this.#retries.mergeHistory(service, adoption.history);
			return;
		}

		const answer = await this.#parts.clients.ask(scheduler.peerAddress, adoptionTimeout, async (client, signal) => client.adopt.mutate(adoption, {signal}));
		plans.isAdoptionPending ||= answer !== true && plans.scheduler?.life === scheduler.life;
	}

	#queueEvent(service: ServiceName, plans: ServicePlans, event: PlanEvent): void {
		if (plans.scheduler !== undefined && plans.scheduler.name !== this.#parts.self().name) {
			plans.pendingEvents.push(event);
			plans.eventTimer ??= this.#parts.clock.setTimer(eventBatchDelay, () => {
				this.#sendEvents(service, plans);
			});
		}
	}

	#sendEvents(service: ServiceName, plans: ServicePlans): void {
		const {pendingEvents} = plans;
		plans.pendingEvents = [];
		plans.eventTimer = undefined;
		this.#updates.sendToNode(plans.scheduler?.name, service, {notes: pendingEvents});
	}

	#findPlans(service: ServiceName): ServicePlans {
		let plans = this.#services.get(service);
		if (plans === undefined) {
			const engine = this.#parts.state.table?.findService(service)?.engine;
			plans = this.#createPlans(service, engine);
			plans.planner.setServers(this.#parts.state.listServers(service), engine);
			this.#services.set(service, plans);
		}

		return plans;
	}

	#createPlans(service: ServiceName, engine: EngineProfile | undefined): ServicePlans {
		const {
			ids, clock, logger, state,
		} = this.#parts;
		const planner = new Planner({ids, engine});
		const parts = {
			service, planner, clock, logger, state, updates: this.#updates,
		};
		return {
			planner,
			ownPlans: new Map(),
			scheduler: undefined,
			isAdoptionPending: false,
			pendingEvents: [],
			crashes: new ReplicatedCrashes(parts),
			limits: new ReplicatedLimits(parts),
			leaving: new LeavingNotices(parts),
			resting: new RestingServers(),
			emptyListsLeft: emptyListRepeats,
			eventTimer: undefined,
		};
	}

	#refreshServers(): void {
		for (const [service, {planner, crashes, limits}] of this.#services) {
			planner.setServers(this.#parts.state.listServers(service), this.#parts.state.table?.findService(service)?.engine);
			crashes.checkServers();
			limits.prune();
		}
	}
}
