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
	isFirstAsk, Planner, type Decision, type Plan, type PlanNote, type PlanRequest, type RetryAllowance, type RetryLimits, type RetryRequest, type ServerWork,
} from '../../planning/index.js';
import type {EngineProfile, FleetState} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {Adoption, DecisionAnswer, PeerClients} from '../peers/peer-rpc.js';
import type {PeerSocket} from '../peers/peer-socket.js';
import type {PlanNews} from '../peers/plan-news.js';
import type {Peer} from '../peers/peer-beat.js';
import type {Peers} from '../peers/peers.js';
import {Placer, type PlaceAnswer, type Placed} from '../calls/placer.js';
import {DeciderChoice} from './decider-choice.js';
import {logDecision, logLongerRead} from './decision-log.js';
import {NewsSender} from './news-sender.js';
import {SharedCrashes} from './shared-crashes.js';
import {SharedLimits} from './shared-limits.js';
import {SharedRetries, type RetryBudget} from './shared-retries.js';

/** Time in which the deciding node must answer, in milliseconds: a box that has used up its quota stands still for most of a tenth of a second; with 60, 14 asks were given up within two seconds of one played day. */
const askTimeout = 90;

/** How long a node that did not answer is passed over, in milliseconds: its death shows in its heartbeats after that. */
const slowRest = 600;

/** Time in which notes are gathered, in milliseconds. */
const noteDelay = 8;

/** Part of the servers' limits that all nodes together may grant which stand in for the deciding one. */
const standInLimitShare = 0.3;

/** Time for plans to be taken over, in milliseconds. */
const adoptTimeout = 500;

/** Time between two lists of what a node carries out, in milliseconds. */
const reconcileEvery = 1000;

/** Empty lists told after the last plan has ended: any of them may be lost. Hundreds of nodes at rest tell nothing. */
const emptyLists = 3;

/** What the placer needs. */
export type SharedPlacerParts = {
	clock: Clock;
	logger: Logger;
	metrics: GatewayMetrics;
	ids: IdSource;
	state: FleetState;
	peers: Peers;
	clients: PeerClients;
	socket: PeerSocket;
	/** Nodes that the settings tell of, this one among them: those that a node knows which has just started and hears nobody. */
	countTold: () => number;
	/** The fleet's budget of retries for each service. */
	retries: RetryLimits;
	self: () => Peer;
};

/** This node's part in planning for one service. */
type ServicePlans = {
	planner: Planner;
	/** Plans that this node carries out. */
	own: Map<PlanId, Plan>;
	/** The node that was asked last. */
	decider: Pick<Peer, 'name' | 'life'> | undefined;
	/** Whether that node may not know yet what this one has running and has spent. */
	isUntold: boolean;
	notes: PlanNote[];
	crashes: SharedCrashes;
	limits: SharedLimits;
	/** Empty lists that are still to be told. */
	emptyLeft: number;
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
	servers: ServerWork[];
};

/** Asks the deciding node, and decides when this node is the one, or alone. */
export class SharedPlacer extends Placer {
	readonly #parts: SharedPlacerParts;
	readonly #services = new Map<ServiceName, ServicePlans>();
	readonly #deciders: DeciderChoice;
	readonly #retries: SharedRetries;
	readonly #news: NewsSender;
	#reconciledAt = 0;

	constructor(parts: SharedPlacerParts) {
		super();
		this.#parts = parts;
		this.#deciders = new DeciderChoice(parts.clock, parts.peers, parts.self);
		const {
			clock, logger, peers, clients, countTold, self,
		} = parts;
		this.#news = new NewsSender(parts.socket, peers, this.#deciders, () => self().name);
		this.#retries = new SharedRetries({
			clock, logger, peers, clients, deciders: this.#deciders, limits: parts.retries, countTold, askTimeout, self,
		});
		parts.state.addListener(() => {
			this.#refreshServers();
		});
		parts.peers.addLostListener(peer => {
			for (const {planner} of this.#services.values()) {
				planner.forgetNode(peer.name, parts.clock.readMonotonic());
			}
		});
	}

	override async place(request: PlanRequest): Promise<Either<Failure, PlaceAnswer>> {
		const started = this.#parts.clock.readMonotonic();
		if (isFirstAsk(request)) {
			this.#retries.addOwn(request);
		}

		const {decidedBy, result} = await this.#decide(this.#addCrashes(request));
		this.#parts.metrics.recordPlacement(decidedBy, this.#parts.clock.readMonotonic() - started);
		return result.map(decision => {
			if (decision.kind === 'wait') {
				return {askAgainIn: decision.askAgainIn};
			}

			this.#learnCrashes(decision.plan.request);
			this.#findPlans(request.service).own.set(decision.plan.planId, decision.plan);
			return {plan: decision.plan, decidedBy};
		});
	}

	override note(plan: Plan, note: PlanNote): void {
		const {service, fingerprint} = plan.request;
		const plans = this.#findPlans(service);
		this.#takeNote(plans.planner, note);
		if (note.kind === 'ended') {
			plans.own.delete(plan.planId);
		}

		this.#queueNote(service, plans, note);
		if (note.kind === 'server_ended') {
			plans.crashes.replicateOwn(note);
		} else if (note.kind === 'ended' && note.wasAnswered === true && fingerprint !== undefined && plans.planner.crashRecords.has(fingerprint)) {
			const survived: PlanNote = {planId: plan.planId, kind: 'survived', fingerprint};
			const isForAll = plans.crashes.hasRepeated(fingerprint);
			this.#takeNote(plans.planner, survived);
			this.#queueNote(service, plans, survived);
			this.#news.sendOn(service, isForAll, {notes: [survived]});
		}
	}

	override noteLimit(service: ServiceName, server: BackendServerId, requestsPerSecond: number | undefined): void {
		const plans = this.#findPlans(service);
		const report = plans.limits.noteAnswer(server, requestsPerSecond, this.#parts.self().name);
		if (report !== undefined) {
			this.#news.sendToNode(plans.decider?.name, service, {limits: [report]});
		}
	}

	/** Decides for a node that asked. One that is refused a request which crashes servers learns of the crashes: it may have to decide alone. */
	decideFor(request: PlanRequest): DecisionAnswer {
		return this.#decideForAll(request).caseOf<DecisionAnswer>({
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
	takeNews({
		service, node, notes, active, crashRecords = [], limits = [],
	}: PlanNews): void {
		const {planner, crashes, limits: known} = this.#findPlans(service);
		for (const limit of limits) {
			known.learn(limit, node);
		}

		crashes.learn(crashRecords);
		for (const note of notes) {
			this.#takeNote(planner, note);
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
		this.#retries.learn(service, history);
		const {planner, crashes} = this.#findPlans(service);
		const now = this.#parts.clock.readMonotonic();
		planner.adopt(plans, now);
		crashes.learn(crashRecords);
		for (const limit of limits) {
			planner.limits.learn(limit, now);
		}
	}

	/** Tells the deciding nodes once in a while what this node carries out; notes may have been lost. */
	tick(): void {
		const now = this.#parts.clock.readMonotonic();
		if (now - this.#reconciledAt < reconcileEvery) {
			return;
		}

		this.#reconciledAt = now;
		const self = this.#parts.self().name;
		for (const [service, plans] of this.#services) {
			this.#changeDecider(service, plans, this.#deciders.choose(service));
			const active = [...plans.own.keys()];
			this.takeNews({
				service, node: self, notes: [], active,
			});
			plans.emptyLeft = plans.own.size > 0 ? emptyLists : plans.emptyLeft - 1;
			if (plans.emptyLeft >= 0) {
				this.#news.sendToNode(plans.decider?.name, service, {active});
			}

			if (plans.decider?.name === self) {
				plans.crashes.replicateToNewNodes();
				plans.limits.replicate();
			}
		}
	}

	/** How a service stands at this node: only the deciding one knows all of its work. */
	describe(service: ServiceName, mostServers: number): ServiceWork {
		const self = this.#parts.self();
		const {name, life, peerAddress} = this.#deciders.choose(service);
		const isSelf = name === self.name;
		const planner = this.#services.get(service)?.planner;
		const servers = planner?.describeServers(this.#parts.clock.readMonotonic(), mostServers) ?? [];
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

	#learnCrashes({fingerprint, crashes = [], service}: PlanRequest): void {
		if (fingerprint !== undefined && crashes.length > 0) {
			this.#findPlans(service).crashes.learn([[fingerprint, crashes]]);
		}
	}

	#takeNote(planner: Planner, note: PlanNote): void {
		const longer = planner.note(note, this.#parts.clock.readMonotonic());
		if (longer !== undefined) {
			logLongerRead(this.#parts.logger, longer);
		}
	}

	#decideForAll(request: PlanRequest): Either<Failure, Decision> {
		const seen = this.#parts.peers.countLive() + 1;
		const known = this.#retries.countKnown();
		const limitShare = this.#deciders.isFirst(request.service) ? Math.min(1, seen / known) : standInLimitShare / known;
		return this.#decideHere(request, seen, limitShare);
	}

	/** Decides by what this node has seen: its own plans, and those of so many nodes, itself among them, that ask it. */
	#decideHere(request: PlanRequest, seen: number, limitShare = standInLimitShare / this.#retries.countKnown()): Either<Failure, Decision> {
		const {planner} = this.#findPlans(request.service);
		const now = this.#parts.clock.readMonotonic();
		if (isFirstAsk(request)) {
			this.#retries.addDecided(request);
		}

		const {logger, state} = this.#parts;
		const sight = {seen, known: this.#retries.countKnown()};
		const decided = planner.decide(request, now, sight, limitShare);
		logDecision(logger, request, decided, {
			inProgress: planner.planCount, configVersion: state.configVersion, serversRevision: state.serversRevision, ...sight,
		});
		return decided;
	}

	async #decide(request: PlanRequest): Promise<{decidedBy: Placed['decidedBy']; result: Either<Failure, Decision>}> {
		const plans = this.#findPlans(request.service);
		const self = this.#parts.self();
		const decider = this.#deciders.choose(request.service);
		this.#changeDecider(request.service, plans, decider);
		if (decider.name === self.name) {
			return {decidedBy: 'self', result: this.#decideForAll(request)};
		}

		const answer = await this.#parts.clients.ask(decider.peerAddress, askTimeout, async (client, signal) => client.decide.mutate(request, {signal}));
		if (answer?.decision?.kind === 'plan') {
			plans.planner.adopt([answer.decision.plan], this.#parts.clock.readMonotonic());
		}

		this.#learnCrashes({...request, crashes: answer?.crashes});
		if (answer?.decision !== undefined) {
			return {decidedBy: 'planner', result: Right(answer.decision)};
		}

		// A node that has just started may know fewer servers than this one; those that the request has left are none that it lacks.
		const knowsNone = answer?.failure?.kind === 'no_backend_server' && this.#parts.state.listServers(request.service).some(server => !request.excluded.includes(server.id));
		if (answer?.failure !== undefined && !knowsNone) {
			return {decidedBy: 'planner', result: Left(answer.failure)};
		}

		this.#parts.peers.noteSlow(decider.name, slowRest);
		this.#parts.logger.warn({
			event: 'decider_passed_over', request: request.requestId, node: decider.name, reason: knowsNone ? 'it knows no server' : `no answer within ${askTimeout} ms`,
		}, 'this node decides by its own view');
		return {decidedBy: 'fallback', result: this.#decideHere(request, 1)};
	}

	/** A new decider learns what this node has running and has spent; one that started again knows nothing of it either. */
	#changeDecider(service: ServiceName, plans: ServicePlans, decider: Peer): void {
		const isChanged = plans.decider?.life !== decider.life;
		if (isChanged) {
			this.#parts.logger.info({
				event: 'decider_changed', service, from: plans.decider?.name, to: decider.name, own: plans.own.size,
			}, 'another node decides for a service');
			plans.decider = {name: decider.name, life: decider.life};
			plans.emptyLeft = emptyLists;
		}

		if (isChanged || plans.isUntold) {
			void this.#tellAll(service, plans, decider);
		}
	}

	async #tellAll(service: ServiceName, plans: ServicePlans, decider: Peer): Promise<void> {
		plans.isUntold = false;
		const adoption = {
			service,
			plans: [...plans.own.values()].map(plan => ({...plan, startIn: 0})),
			crashRecords: plans.crashes.describeAll(),
			limits: plans.limits.describe(),
			history: this.#retries.describeOwn(service, decider),
		};
		if (decider.name === this.#parts.self().name) {
			this.#retries.learn(service, adoption.history);
			return;
		}

		const answer = await this.#parts.clients.ask(decider.peerAddress, adoptTimeout, async (client, signal) => client.adopt.mutate(adoption, {signal}));
		plans.isUntold ||= answer !== true && plans.decider?.life === decider.life;
	}

	#queueNote(service: ServiceName, plans: ServicePlans, note: PlanNote): void {
		if (plans.decider !== undefined && plans.decider.name !== this.#parts.self().name) {
			plans.notes.push(note);
			plans.noteTimer ??= this.#parts.clock.setTimer(noteDelay, () => {
				this.#sendNotes(service, plans);
			});
		}
	}

	#sendNotes(service: ServiceName, plans: ServicePlans): void {
		const {notes} = plans;
		plans.notes = [];
		plans.noteTimer = undefined;
		this.#news.sendToNode(plans.decider?.name, service, {notes});
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
		const shared = {
			service, planner, clock, logger, state, news: this.#news,
		};
		return {
			planner,
			own: new Map(),
			decider: undefined,
			isUntold: false,
			notes: [],
			crashes: new SharedCrashes(shared),
			limits: new SharedLimits(shared),
			emptyLeft: emptyLists,
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
