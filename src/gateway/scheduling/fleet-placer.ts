/**
 * One node plans for all, the next one in order when it is gone.
 *
 * Every node ranks the live nodes alike for a service; the first one decides. A node that
 * gets no answer in time decides by itself, with the same planner over what it has seen:
 * its own plans, and what others made for it. A plan made so may collide with another one,
 * which costs a refusal by a server, never a promise.
 */
import {
	Left, Right, type Either,
} from 'purify-ts';
import {
	type BackendServerId, type BoxId, type Clock, type Failure, type IdSource, type Logger, type PlanId, type ServiceName, type Timer,
} from '../../common/index.js';
import {
	isFirstAttempt, Planner, type Decision, type Plan, type PlanEvent, type PlanRequest, type RetryAllowance, type RetryLimits, type RetryRequest, type PlannedServerStatus,
} from '../../planning/index.js';
import type {EngineProfile, FleetState} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {Adoption, DecisionAnswer, PeerClients} from '../peers/peer-rpc.js';
import type {PeerSocket} from '../peers/peer-socket.js';
import type {PlanUpdate} from '../peers/plan-update.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Peers} from '../peers/peers.js';
import {Placer, type PlacementAnswer, type Placement} from '../calls/placer.js';
import {SchedulerSelector} from './scheduler-selector.js';
import {logDecision, logReadOverrun} from './decision-log.js';
import {PlanUpdateSender} from './plan-update-sender.js';
import {ReplicatedCrashes} from './replicated-crashes.js';
import {ReplicatedLimits} from './replicated-limits.js';
import {DistributedRetryBudget, type RetryBudget} from './distributed-retry-budget.js';

/** Time in which the deciding node must answer, in milliseconds: a box that has used up its quota stands still for most of a tenth of a second; with 60, 14 asks were given up within two seconds of one played day. */
const decisionTimeout = 90;

/** How long a node that did not answer is passed over, in milliseconds: its death shows in its heartbeats after that. */
const slowNodeBypass = 600;

/** Time in which notes are gathered, in milliseconds. */
const noteBatchDelay = 8;

/** Part of the servers' limits that all nodes together may grant which stand in for the deciding one. */
const fallbackLimitShare = 0.3;

/** Time for plans to be taken over, in milliseconds. */
const adoptionTimeout = 500;

/** Time between two lists of what a node carries out, in milliseconds. */
const reconcileInterval = 1000;

/** Empty lists told after the last plan has ended: any of them may be lost. Hundreds of nodes at rest tell nothing. */
const emptyListRepeats = 3;

/** What the placer needs. */
export type FleetPlacerParts = {
	clock: Clock;
	logger: Logger;
	metrics: GatewayMetrics;
	ids: IdSource;
	state: FleetState;
	peers: Peers;
	clients: PeerClients;
	socket: PeerSocket;
	/** Nodes that the settings tell of, this one among them: those that a node knows which has just started and hears nobody. */
	countConfigured: () => number;
	/** The fleet's budget of retries for each service. */
	retries: RetryLimits;
	self: () => Peer;
};

/** This node's part in planning for one service. */
type ServicePlans = {
	planner: Planner;
	/** Plans that this node carries out. */
	ownPlans: Map<PlanId, Plan>;
	/** The node that was asked last. */
	scheduler: Pick<Peer, 'name' | 'life'> | undefined;
	/** Whether that node may not know yet what this one has running and has spent. */
	isAdoptionPending: boolean;
	notes: PlanEvent[];
	crashes: ReplicatedCrashes;
	limits: ReplicatedLimits;
	/** Empty lists that are still to be told. */
	emptyListsLeft: number;
	noteTimer: Timer | undefined;
};

/** A service as one node knows it. */
export type ServiceWork = {
	service: ServiceName;
	/** The node that decides, as this one chooses. */
	decider: {name: BoxId; life: string; host: string; isSelf: boolean};
	/** Plans in progress, and prompts that wait to be read. */
	plans: number;
	waiting: number;
	/** Only where this node decides. */
	retries?: RetryBudget;
	usableServers: number;
	/** The busiest ones; none before the first request. */
	servers: PlannedServerStatus[];
};

/** Asks the deciding node, and decides when this node is the one, or alone. */
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
			clock, logger, peers, clients, countConfigured: countTold, self,
		} = parts;
		this.#updates = new PlanUpdateSender(parts.socket, peers, this.#schedulers, () => self().name);
		this.#retries = new DistributedRetryBudget({
			clock, logger, peers, clients, schedulers: this.#schedulers, limits: parts.retries, countConfigured: countTold, decisionTimeout: decisionTimeout, self,
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

		const {decidedBy, result} = await this.#decide(this.#addCrashes(request));
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

	override report(plan: Plan, note: PlanEvent): void {
		const {service, fingerprint} = plan.request;
		const plans = this.#findPlans(service);
		this.#applyNote(plans.planner, note);
		if (note.kind === 'ended') {
			plans.ownPlans.delete(plan.planId);
		}

		this.#queueNote(service, plans, note);
		if (note.kind === 'server_ended') {
			plans.crashes.replicateOwn(note);
		} else if (note.kind === 'ended' && note.wasAnswered === true && fingerprint !== undefined && plans.planner.crashRecords.has(fingerprint)) {
			const survived: PlanEvent = {planId: plan.planId, kind: 'survived', fingerprint};
			const isBroadcast = plans.crashes.hasRepeated(fingerprint);
			this.#applyNote(plans.planner, survived);
			this.#queueNote(service, plans, survived);
			this.#updates.sendToSuccessors(service, isBroadcast, {notes: [survived]});
		}
	}

	override recordLimit(service: ServiceName, server: BackendServerId, requestsPerSecond: number | undefined): void {
		const plans = this.#findPlans(service);
		const report = plans.limits.recordAnswer(server, requestsPerSecond, this.#parts.self().name);
		if (report !== undefined) {
			this.#updates.sendToNode(plans.scheduler?.name, service, {limits: [report]});
		}
	}

	/** Decides for a node that asked. One that is refused a request which crashes servers learns of the crashes: it may have to decide alone. */
	decideFor(request: PlanRequest): DecisionAnswer {
		return this.#decideAsScheduler(request).caseOf<DecisionAnswer>({
			Left: failure => failure.kind === 'ends_servers' ? {failure, crashes: this.#findPlans(request.service).crashes.describe(request.fingerprint)} : {failure},
			Right: decision => ({decision}),
		});
	}

	override async takeRetry(request: RetryRequest): Promise<boolean> {
		return this.#retries.take(request);
	}

	/** Grants a retry out of the fleet's budget to a node that asked. */
	grantRetry(request: RetryRequest): boolean {
		return this.#retries.grant(request);
	}

	/** Changes how many retries are allowed. */
	setAllowedRetries(allowed: RetryAllowance): void {
		this.#retries.setAllowed(allowed);
	}

	/** Takes the news of a node that carries plans out; it does not carry out what it does not list. */
	applyPlanUpdate({
		service, node, notes, active, crashRecords = [], limits = [],
	}: PlanUpdate): void {
		const {planner, crashes, limits: known} = this.#findPlans(service);
		for (const limit of limits) {
			known.merge(limit, node);
		}

		crashes.merge(crashRecords);
		for (const note of notes) {
			this.#applyNote(planner, note);
			if (note.kind === 'server_ended') {
				crashes.replicateReported(note);
			}
		}

		const forgotten = active === undefined ? 0 : planner.reconcile(node, new Set(active), this.#parts.clock.readMonotonic());
		if (forgotten > 0) {
			this.#parts.logger.info({
				event: 'plans_reconciled', service, node, forgotten, active: active?.length,
			}, 'plans whose end or answer was lost are forgotten');
		}
	}

	/** Takes over a node that another one decided for until now: what it carries out, and what it has spent. */
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

	/** Tells the deciding nodes once in a while what this node carries out; notes may have been lost. */
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
			}
		}
	}

	/** How a service stands at this node: only the deciding one knows all of its work. */
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

	/** Each node remembers what it has been told of the requests that came to it: the next one that decides learns it from all of them. */
	#addCrashes(request: PlanRequest): PlanRequest {
		const crashes = this.#findPlans(request.service).crashes.describe(request.fingerprint);
		return crashes.length === 0 ? request : {...request, crashes};
	}

	#mergeCrashes({fingerprint, crashes = [], service}: PlanRequest): void {
		if (fingerprint !== undefined && crashes.length > 0) {
			this.#findPlans(service).crashes.merge([[fingerprint, crashes]]);
		}
	}

	#applyNote(planner: Planner, note: PlanEvent): void {
		const overrun = planner.recordEvent(note, this.#parts.clock.readMonotonic());
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

	/** Decides by what this node has seen: its own plans, and those of so many nodes, itself among them, that ask it. */
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

		// A node that has just started may know fewer servers than this one; those that the request has left are none that it lacks.
		const isMissingServers = answer?.failure?.kind === 'no_backend_server' && this.#parts.state.listServers(request.service).some(server => !request.excluded.includes(server.id));
		if (answer?.failure !== undefined && !isMissingServers) {
			return {decidedBy: 'planner', result: Left(answer.failure)};
		}

		this.#parts.peers.markSlow(scheduler.name, slowNodeBypass);
		this.#parts.logger.warn({
			event: 'decider_passed_over', request: request.requestId, node: scheduler.name, reason: isMissingServers ? 'it knows no server' : `no answer within ${decisionTimeout} ms`,
		}, 'this node decides by its own view');
		return {decidedBy: 'fallback', result: this.#decideLocally(request, 1)};
	}

	/** A new decider learns what this node has running and has spent; one that started again knows nothing of it either. */
	#changeScheduler(service: ServiceName, plans: ServicePlans, scheduler: Peer): void {
		const isChanged = plans.scheduler?.life !== scheduler.life;
		if (isChanged) {
			this.#parts.logger.info({
				event: 'decider_changed', service, from: plans.scheduler?.name, to: scheduler.name, own: plans.ownPlans.size,
			}, 'another node decides for a service');
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

	#queueNote(service: ServiceName, plans: ServicePlans, note: PlanEvent): void {
		if (plans.scheduler !== undefined && plans.scheduler.name !== this.#parts.self().name) {
			plans.notes.push(note);
			plans.noteTimer ??= this.#parts.clock.setTimer(noteBatchDelay, () => {
				this.#sendNotes(service, plans);
			});
		}
	}

	#sendNotes(service: ServiceName, plans: ServicePlans): void {
		const {notes} = plans;
		plans.notes = [];
		plans.noteTimer = undefined;
		this.#updates.sendToNode(plans.scheduler?.name, service, {notes});
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
			notes: [],
			crashes: new ReplicatedCrashes(parts),
			limits: new ReplicatedLimits(parts),
			emptyListsLeft: emptyListRepeats,
			noteTimer: undefined,
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
