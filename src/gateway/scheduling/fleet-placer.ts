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
	isColdRejection, isFirstAttempt, PlanHandover, Planner, RestingServers,
	type ColdAllowance, type GrantedShares,
	type Decision, type FleetVisibility, type Plan, type PlanEvent, type PlanRequest, type RetryAllowance, type RetryLimits, type RestingServer, type RetryRequest, type PlannedServerStatus, type ShareReport,
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
import {explainEvacuation, logDecision, logReadOverrun} from './decision-log.js';
import {PlanUpdateSender} from './plan-update-sender.js';
import {LeavingNotices} from './leaving-notices.js';
import {ReplicatedCrashes} from './replicated-crashes.js';
import {ColdShares} from './cold-shares.js';
import {ReplicatedCold} from './replicated-cold.js';
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

/** Delay after a change of the peers before plans are handed over to a changed scheduling node, in milliseconds: while a fleet starts, the selection changes with each discovered node. */
const handoverDelay = 25;

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
	/** What is allowed beyond the rates of cold servers; undefined when they are not limited. */
	coldAllowance?: ColdAllowance;
	/** How long the usage of organisations is remembered, in milliseconds; undefined when they have no shares. */
	sharesMemory?: number;
	self: () => Peer;
};

/** Scheduling state of one service on this node. */
type ServicePlans = {
	planner: Planner;
	/** Plans that this node is running. */
	ownPlans: Map<PlanId, Plan>;
	/** The scheduling node selected last. */
	scheduler: Pick<Peer, 'name' | 'life'> | undefined;
	/** The scheduling node when slowness is ignored, and since when, by the monotonic clock. */
	preferred: {life: string; since: number} | undefined;
	/** Whether that node may lack the running plans and retries of this one. */
	isAdoptionPending: boolean;
	/** Whether this node has placed a request: before, it has nothing to hand over. */
	isUsed: boolean;
	/** Nodes whose running plans are known here. */
	handover: PlanHandover;
	pendingEvents: PlanEvent[];
	crashes: ReplicatedCrashes;
	limits: ReplicatedLimits;
	cold: ReplicatedCold;
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
	readonly #coldShares: ColdShares | undefined;
	#reconciledAt = 0;
	#handoverTimer: Timer | undefined;

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
		this.#coldShares = this.#createColdShares();
		parts.state.coldServers.addListener((service, change) => {
			this.#services.get(service)?.cold.applyChange(change);
		});
		parts.state.addListener(() => {
			this.#refreshServers();
		});
		parts.peers.addChangeListener(() => {
			this.#handoverTimer ??= parts.clock.setTimer(handoverDelay, () => {
				this.#handoverTimer = undefined;
				this.#changeSchedulers();
			});
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

			case 'cold': {
				this.#recordCold(service, server, notice.time);
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
		} = this.#findPlans(service);
		leavingNotices.merge(leaving, node);
		replicatedCold.merge(cold);
		for (const limit of limits) {
			replicatedLimits.merge(limit, node);
		}

		crashes.merge(crashRecords);
		planner.shares?.merge(usage, this.#parts.clock.readMonotonic());
		for (const event of notes) {
			this.#applyEvent(planner, event);
			if (event.kind === 'server_ended') {
				crashes.replicateReported(event);
			}
		}

		const life = this.#parts.peers.findLive(node)?.life;
		if (active !== undefined && life !== undefined && planner.hasPlans(active)) {
			handover.record(life);
		}

		if (active !== undefined && node !== this.#parts.self().name) {
			this.#coldShares?.recordReport(service, node);
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
		service, plans, crashRecords, limits, cold = [], history, usage = [],
	}: Adoption): void {
		this.#retries.mergeHistory(service, history);
		const {
			planner, crashes, cold: replicatedCold, handover,
		} = this.#findPlans(service);
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
			this.#findPlans(name);
		}

		this.#changeSchedulers();
		for (const [service, plans] of this.#services) {
			this.#measureSelection(service, plans, this.#schedulers.select(service));
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

	/** Sends the usage of organisations to the node that would take over: it then knows all but the last second. */
	#replicateUsage(service: ServiceName, planner: Planner): void {
		const usage = planner.shares?.describe(this.#parts.clock.readMonotonic()) ?? [];
		if (usage.length > 0) {
			this.#updates.sendToSuccessors(service, false, {usage});
		}
	}

	#recordLimit(service: ServiceName, server: BackendServerId, requestsPerSecond: number | undefined): void {
		const plans = this.#findPlans(service);
		const report = plans.limits.recordAnswer(server, requestsPerSecond, this.#parts.self().name);
		if (report !== undefined) {
			this.#updates.sendToNode(plans.scheduler?.name, service, {limits: [report]});
		}
	}

	#recordCold(service: ServiceName, server: BackendServerId, time: number): void {
		const plans = this.#findPlans(service);
		const report = plans.cold.recordAnswer(server, time);
		if (report !== undefined) {
			this.#updates.sendToNode(plans.scheduler?.name, service, {cold: [report]});
		}
	}

	#createColdShares(): ColdShares | undefined {
		const {clock, peers, coldAllowance, self} = this.#parts;
		return coldAllowance === undefined
			? undefined
			: new ColdShares({
				clock,
				allowance: coldAllowance,
				self: () => self().name,
				listKnown: () => peers.listKnown().map(peer => peer.name),
				countSeen: () => peers.countLive() + 1,
				countKnown: () => this.#retries.countKnown(),
			});
	}

	#recordRest(service: ServiceName, rest: RestingServer): void {
		if (this.#findPlans(service).resting.add(rest, this.#parts.clock.readMonotonic())) {
			this.#parts.logger.info({event: 'server_resting', service, ...rest}, 'a backend server asked this node to send it no requests for a while');
		}
	}

	/** Adds what the asking node may not know yet and needs to decide what follows a refusal. */
	#describeRefusal({service, fingerprint}: PlanRequest, failure: Failure): DecisionAnswer {
		if (failure.kind === 'ends_servers') {
			return {failure, crashes: this.#findPlans(service).crashes.describe(fingerprint)};
		}

		const evacuations = failure.kind === 'no_backend_server' ? this.#parts.state.evacuations?.takeSnapshot() : undefined;
		return evacuations === undefined ? {failure} : {failure, evacuations};
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
		const peers = this.#parts.peers.listLive();
		const live = peers.length + 1;
		const seen = this.#findPlans(request.service).handover.countKnown(peers) + 1;
		const known = this.#retries.countKnown();
		const isPreferred = this.#schedulers.isPreferred(request.service);
		const limitShare = isPreferred ? Math.min(1, live / known) : fallbackLimitShare / known;
		this.#coldShares?.recordAsk(request.service, request.node, request.selectedFor ?? 0);
		return this.#decideLocally(request, {seen, known, live}, this.#findShares(request, limitShare, isPreferred));
	}

	/** Decides from the plans known here: those of the nodes that have reported them, this one included. */
	#decideLocally(request: PlanRequest, visibility: FleetVisibility, shares: number | GrantedShares): Either<Failure, Decision> {
		const {planner} = this.#findPlans(request.service);
		const now = this.#parts.clock.readMonotonic();
		if (isFirstAttempt(request)) {
			this.#retries.recordDecided(request);
		}

		const {logger, state} = this.#parts;
		const evacuated = state.listEvacuatedZones(request.service);
		const decided = planner.decide(request, now, visibility, shares).mapLeft(failure => explainEvacuation(failure, evacuated));
		this.#countColdLimited(request, decided);
		const share = planner.describeShare(request, now);
		this.#countScarceDecision(request.service, decided, share);
		logDecision(logger, request, decided, {
			inProgress: planner.planCount, configVersion: state.configVersion, serversRevision: state.serversRevision, ...visibility, ...(evacuated.length > 0 && {evacuated}), share,
		});
		decided.ifRight(decision => {
			if (decision.kind === 'plan' && decision.plan.avoided !== undefined) {
				this.#parts.metrics.countAvoidance(request.service, 'failures');
			}
		});
		return decided;
	}

	#countScarceDecision(service: ServiceName, decided: Either<Failure, Decision>, share: ShareReport | undefined): void {
		if (share?.isScarce === true) {
			const result = decided.caseOf({Left: () => 'refused', Right: decision => decision.kind === 'plan' ? 'placed' : 'waits'});
			this.#parts.metrics.countScarceDecision(service, share.shareUsed > 1 ? 'over' : 'under', result);
		}
	}

	#findShares({service}: PlanRequest, limitShare: number, isPreferred: boolean): number | GrantedShares {
		return this.#coldShares === undefined ? limitShare : {declared: limitShare, cold: this.#coldShares.findShare(service, isPreferred)};
	}

	/** Time for which this node has selected a node regardless of slowness, in milliseconds: one that only replaces a slow node for a moment has not been selected. */
	#measureSelection(service: ServiceName, plans: ServicePlans, scheduler: Peer): number {
		const now = this.#parts.clock.readMonotonic();
		const {life} = this.#schedulers.selectPreferred(service);
		if (plans.preferred?.life !== life) {
			plans.preferred = {life, since: now};
		}

		return scheduler.life === life ? now - plans.preferred.since : 0;
	}

	#countColdLimited({service, waited}: PlanRequest, decided: Either<Failure, Decision>): void {
		const result = decided.caseOf<'delayed' | 'rejected' | undefined>({
			Left: failure => isColdRejection(failure) ? 'rejected' : undefined,
			Right: decision => decision.kind === 'wait' && decision.reason === 'cold' && waited === 0 ? 'delayed' : undefined,
		});
		if (result !== undefined) {
			this.#parts.metrics.countColdLimited(service, result);
		}
	}

	async #decide(original: PlanRequest): Promise<{decidedBy: Placement['decidedBy']; result: Either<Failure, Decision>}> {
		const plans = this.#findPlans(original.service);
		const self = this.#parts.self();
		const scheduler = this.#schedulers.select(original.service);
		plans.isAdoptionPending ||= !plans.isUsed;
		plans.isUsed = true;
		this.#changeScheduler(original.service, plans, scheduler);
		const request = this.#coldShares === undefined ? original : {...original, selectedFor: this.#measureSelection(original.service, plans, scheduler)};
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
		const known = this.#retries.countKnown();
		return {decidedBy: 'fallback', result: this.#decideLocally(request, {seen: 1, known}, this.#findShares(request, fallbackLimitShare / known, false))};
	}

	#changeSchedulers(): void {
		for (const [service, plans] of this.#services) {
			this.#changeScheduler(service, plans, this.#schedulers.select(service));
		}
	}

	/** Hands running plans and retry history over to a new or restarted scheduling node. */
	#changeScheduler(service: ServiceName, plans: ServicePlans, scheduler: Peer): void {
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
			this.#updates.sendToNode(scheduler.name, service, {active: []});
		} else if (isChanged || plans.isAdoptionPending) {
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
			cold: plans.cold.describe(),
			history: this.#retries.describeOwn(service, scheduler),
			usage: plans.planner.shares?.describe(this.#parts.clock.readMonotonic()),
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
			ids, clock, logger, state, sharesMemory,
		} = this.#parts;
		const planner = new Planner({ids, engine, sharesMemory});
		const parts = {
			service, planner, clock, logger, state, updates: this.#updates,
		};
		return {
			planner,
			ownPlans: new Map(),
			scheduler: undefined,
			preferred: undefined,
			isAdoptionPending: false,
			isUsed: false,
			handover: new PlanHandover(),
			pendingEvents: [],
			crashes: new ReplicatedCrashes(parts),
			limits: new ReplicatedLimits(parts),
			cold: new ReplicatedCold(parts, this.#parts.coldAllowance),
			leaving: new LeavingNotices(parts),
			resting: new RestingServers(),
			emptyListsLeft: emptyListRepeats,
			eventTimer: undefined,
		};
	}

	#refreshServers(): void {
		for (const [service, {planner, crashes, limits, cold}] of this.#services) {
			planner.setServers(this.#parts.state.listServers(service), this.#parts.state.table?.findService(service)?.engine);
			crashes.checkServers();
			limits.prune();
			cold.refresh();
		}
	}
}
