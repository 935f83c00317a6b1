/**
 * A node: the root supervisor of everything one process does.
 *
 * The order of starting matters: the listener for nodes comes first, since its
 * address is part of the incarnation.
 */
import {randomBytes} from 'node:crypto';
import {Agent} from 'undici';
import {Canceller, EngineClient, PlainClient} from '../backends/index.js';
import {
	createIncarnation, orderByRendezvous, Supervisor, waitFor, type AvailabilityZone, type BoxId, type Clock,
	type IdSource, type Incarnation, type Logger, type Metrics, type PoolId,
} from '../common/index.js';
import type {Platform, SpecOf} from '../store/index.js';
import {
	NodeClients, NodeService, type AdmitAnswer, type AnswerFrame, type HeartbeatAnswer, type Inheritance, type KeyedRequest, type PingAnswer,
} from '../rpc/index.js';
import type {Settings} from '../settings/index.js';
import {ConfigWatcher, FleetView} from './config/index.js';
import type {AdmitRequest, Grant, Heartbeat} from './dispatch/index.js';
import {Entry, GrantClient, PrefixHasher} from './entry/index.js';
import {
	openCallersListener, openNodesListener, openOperatorsListener, type Listener,
} from './listeners.js';
import {
	Members, PeerMonitor, PoolGateway, PoolHost, Reconciler, Registration,
} from './membership/index.js';
import type {NodeStatus} from './operators-controller.js';
import {StatusReporter} from './status-reporter.js';

/** What a node is made from. */
export type NodeParts = {
	settings: Settings;
	platform: Platform;
	clock: Clock;
	ids: IdSource;
	logger: Logger;
	metrics: Metrics;
	/** Uniform random numbers from 0 up to 1. */
	random: () => number;
	/** Clients of other nodes; by default over TCP with the secret of the settings. */
	clients?: NodeClients;
	/** Sixteen random hexadecimal digits; by default from the system's source. */
	incarnationRandom?: string;
};

/** Phases of a node's life. */
export type NodePhase = 'starting' | 'ready' | 'leaving' | 'stopped';

const bytesPerMebibyte = 1_048_576;
const probeTimeout = 400;
const inheritTimeout = 5000;
const leaveNoticeTimeout = 500;

/** Pause between looks at whether requests have ended, in milliseconds. */
const drainPoll = 50;

/** Connections are closed this long after the last request, so that the last answers get out. */
const closingGrace = 100;

/** One node process. */
export class Node extends NodeService {
	readonly view = new FleetView();
	readonly members = new Members(this.view);
	readonly #parts: NodeParts;
	readonly #clients: NodeClients;
	readonly #backendAgent = new Agent({
		headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: 4000, connections: null, connect: {timeout: 2000},
	});

	readonly #supervisorStop = new AbortController();
	#phase: NodePhase = 'starting';
	#incarnation = '' as Incarnation;
	#nodesListener: Listener | undefined;
	#callersListener: Listener | undefined;
	#operatorsListener: Listener | undefined;
	#host!: PoolHost;
	#gateway!: PoolGateway;
	#grants!: GrantClient;
	#entry!: Entry;
	#registration!: Registration;
	#watcher!: ConfigWatcher;
	#supervisor!: Supervisor;
	#running: Promise<void> | undefined;
	#refusedMessages = 0;
	#stopping: Promise<void> | undefined;

	constructor(parts: NodeParts) {
		super();
		this.#parts = parts;
		this.#clients = parts.clients ?? new NodeClients(parts.settings.nodes.secret, parts.clock);
	}

	/** This life of this process. */
	get incarnation(): Incarnation {
		return this.#incarnation;
	}

	/** Where the node is in its life. */
	get phase(): NodePhase {
		return this.#phase;
	}

	/** Base URL for callers. */
	get callerUrl(): string {
		return this.#callersListener?.url ?? '';
	}

	/** Base URL for operators. */
	get operatorUrl(): string {
		return this.#operatorsListener?.url ?? '';
	}

	/** Base URL for nodes. */
	get nodeUrl(): string {
		return this.#nodesListener?.url ?? '';
	}

	/** Settles when the node's parts have ended; rejects when one failed past its restart budget. */
	get running(): Promise<void> {
		return this.#running ?? Promise.resolve();
	}

	/** Opens the listeners and starts every part. Resolves before the platform has been read. */
	async start(): Promise<void> {
		const {settings} = this.#parts;
		this.#nodesListener = await openNodesListener(settings.nodes, settings.nodes.secret, {
			service: this,
			onRefused: () => {
				this.#refusedMessages++;
				this.#parts.metrics.incrementCounter('node_messages_refused');
			},
		});
		this.#incarnation = createIncarnation(this.#parts.incarnationRandom ?? randomBytes(8).toString('hex'), this.#nodesListener.url);
		this.#build(await PrefixHasher.load());
		this.#callersListener = await openCallersListener(settings.callers, settings.entry.bodyLimitMebibytes * bytesPerMebibyte, {
			entry: this.#entry, availabilityZone: settings.availabilityZone as AvailabilityZone,
		});
		this.#operatorsListener = await openOperatorsListener(settings.operators, {
			teams: settings.operators.teams, readStatus: () => this.readStatus(),
		});
		this.#running = this.#supervise();
	}

	/**
	 * Stops as planned: leaves the address answers, hands the pools over, serves
	 * until no caller can hold its address any more and every answer has ended,
	 * passes the run keys' outcomes on, and closes.
	 */
	async stop(): Promise<void> {
		this.#stopping ??= this.#stopPlanned();
		return this.#stopping;
	}

	/** Ends at once: answers in progress end with an error. */
	async stopNow(): Promise<void> {
		this.#entry.stopNow();
		await waitFor(this.#parts.clock, closingGrace);
		await this.#close();
	}

	/** Ends as a killed process would: nothing is said to anyone. For tests of failures. */
	async crash(): Promise<void> {
		this.#phase = 'stopped';
		this.#supervisorStop.abort();
		await Promise.all([this.#clients.close(), this.#backendAgent.destroy()]);
		this.#entry.stopNow();
		await this.#close();
	}

	/** How the node stands. */
	readStatus(): NodeStatus {
		return {
			box: this.#parts.settings.box,
			incarnation: this.#incarnation,
			phase: this.#phase,
			revision: this.view.revision,
			isPlatformReachable: this.#watcher.isCurrent,
			requestsInProgress: this.#entry.inProgress,
			readyNodes: this.members.listReady().map(member => member.box),
			pools: this.#host.listDispatchers().map(dispatcher => ({
				pool: dispatcher.pool, term: dispatcher.term, grants: dispatcher.ledger.grantCount, waiting: dispatcher.queueLength,
			})),
			controlBytes: this.#clients.countBytes(),
			refusedNodeMessages: this.#refusedMessages,
		};
	}

	override ping(): PingAnswer {
		return {incarnation: this.#incarnation, isReady: this.#phase === 'ready'};
	}

	override async probe(url: string): Promise<boolean> {
		const answer = await this.#clients.ask(url, probeTimeout, async (client, signal) => client.ping.query(undefined, {signal}));
		return answer !== undefined;
	}

	override async admit(pool: PoolId, request: AdmitRequest, signal: AbortSignal): Promise<AdmitAnswer> {
		const result = await this.#gateway.admitLocally(pool, request, signal);
		return result.caseOf<AdmitAnswer>({Left: failure => ({failure}), Right: grant => ({grant})});
	}

	override acceptHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer {
		return {isDispatcher: this.#gateway.acceptHeartbeat(heartbeat)};
	}

	override listGrants(pool: PoolId): Grant[] {
		return this.#grants.listActive(pool);
	}

	override answersFor(incarnation: Incarnation): boolean {
		return this.#entry.store.answersFor(incarnation);
	}

	override runKeyed(request: KeyedRequest, signal: AbortSignal): AsyncIterable<AnswerFrame> {
		return this.#entry.serveForwarded(request, signal);
	}

	override inherit(inheritance: Inheritance): void {
		this.#entry.store.inherit(inheritance.incarnations, inheritance.outcomes);
	}

	override noteLeaving(incarnation: Incarnation): void {
		this.members.recordLeaving(incarnation);
	}

	#build(hasher: PrefixHasher): void {
		const {
			settings, platform, clock, ids, logger, metrics, random,
		} = this.#parts;
		const {view, members} = this;
		const clients = this.#clients;
		const engines = new EngineClient(this.#backendAgent, clock);
		const canceller = new Canceller(engines, clock, logger);
		const self = {box: settings.box as BoxId, incarnation: this.#incarnation, region: settings.region};
		this.#watcher = new ConfigWatcher(platform, view, {clock, logger, random});
		this.#registration = new Registration(platform, view, {clock, logger, random}, {box: settings.box, describe: () => this.#describe()});
		this.#host = new PoolHost({
			platform, view, members, clients, clock, ids, logger, metrics, self, isEligible: () => this.#phase === 'ready',
		});
		const reconciler = new Reconciler({
			host: this.#host, view, members, clients, engines, canceller, clock, logger, self: this.#incarnation,
		});
		this.#gateway = new PoolGateway({
			self: this.#incarnation, view, host: this.#host, reconciler, clients, clock,
		});
		this.#grants = new GrantClient(this.#gateway, clock, this.#incarnation, this.nodeUrl);
		this.#entry = new Entry({
			settings: settings.entry, clock, logger, metrics, random, view, members, clients, engines, canceller,
			plain: new PlainClient(this.#backendAgent), grants: this.#grants, hasher, incarnation: this.#incarnation, availabilityZone: settings.availabilityZone as AvailabilityZone,
		});
		const monitor = new PeerMonitor(members, clients, {
			clock, logger, self: this.#incarnation, listHolders: () => this.#host.listWatchedHolders(),
		});
		this.#supervisor = new Supervisor('node', clock, logger);
		const reporter = new StatusReporter(clock, metrics, () => this.readStatus());
		for (const child of [reporter, this.#watcher, this.#registration, this.#host, reconciler, this.#grants, monitor]) {
			this.#supervisor.addChild(child);
		}

		view.addListener(kind => {
			if (kind === 'Node' && this.#phase === 'starting' && members.isReady(this.#incarnation)) {
				this.#phase = 'ready';
				logger.info({event: 'node_ready', box: settings.box, incarnation: this.#incarnation}, 'node is ready');
			}
		});
	}

	async #supervise(): Promise<void> {
		await this.#supervisor.run(this.#supervisorStop.signal);
	}

	#describe(): SpecOf<'Node'> {
		return {
			incarnation: this.#incarnation,
			region: this.#parts.settings.region,
			availabilityZone: this.#parts.settings.availabilityZone,
			callerUrl: this.callerUrl,
			nodeUrl: this.nodeUrl,
			state: this.#phase === 'leaving' || this.#phase === 'stopped' ? 'leaving' : 'ready',
		};
	}

	async #stopPlanned(): Promise<void> {
		const {clock, logger, settings} = this.#parts;
		this.#phase = 'leaving';
		logger.info({event: 'node_leaving', box: settings.box}, 'node leaves');
		const leftAt = clock.readMonotonic();
		await Promise.all([this.#tellLeaving(), this.#registration.write(), this.#host.handOver()]);

		// Callers may hold this address until the answer they got it from has run out.
		await waitFor(clock, (settings.entry.addressLifetimeSeconds * 1000) - (clock.readMonotonic() - leftAt), this.#supervisorStop.signal);
		while (this.#entry.inProgress > 0 && !this.#supervisorStop.signal.aborted) {
			await waitFor(clock, drainPoll, this.#supervisorStop.signal);
		}

		await this.#passOutcomes();
		await waitFor(clock, closingGrace);
		await this.#close();
	}

	/** Peers hear it from the node itself, since the platform may be down. */
	async #tellLeaving(): Promise<void> {
		this.members.recordLeaving(this.#incarnation);
		const others = this.members.listAll().filter(member => member.incarnation !== this.#incarnation);
		await Promise.all(others.map(async member =>
			this.#clients.ask(member.nodeUrl, leaveNoticeTimeout, async (client, signal) => client.noteLeaving.mutate({incarnation: this.#incarnation}, {signal}))));
	}

	async #passOutcomes(): Promise<void> {
		const {store} = this.#entry;
		store.close();
		const inheritance = {incarnations: store.listIncarnations(), outcomes: store.exportOutcomes()};
		const heirs = this.members.listReady().filter(member => member.incarnation !== this.#incarnation);
		for (const heir of orderByRendezvous(this.#incarnation, heirs, member => member.box)) {
			const hasTaken = await this.#clients.ask(heir.nodeUrl, inheritTimeout, async (client, signal) => {
				await client.inherit.mutate(inheritance, {signal});
				return true;
			});
			if (hasTaken === true) {
				this.#parts.logger.info({event: 'outcomes_passed', to: heir.box, count: inheritance.outcomes.length}, 'outcomes of run keys passed on');
				return;
			}
		}

		this.#parts.logger.warn({event: 'outcomes_lost', count: inheritance.outcomes.length}, 'no node took the outcomes of run keys; they will be answered as unknown');
	}

	async #close(): Promise<void> {
		this.#phase = 'stopped';
		this.#supervisorStop.abort();
		await Promise.allSettled([this.#running]);
		await Promise.all([this.#callersListener?.close(), this.#operatorsListener?.close(), this.#nodesListener?.close()]);
		await this.#clients.close();
		await this.#backendAgent.destroy();
		this.#parts.metrics.close();
	}
}
