/**
 * A gateway node: creates and wires the components of one gateway process.
 *
 * It follows the configuration and the backend servers, accepts callers' requests, has the
 * node that schedules a service place them, and proxies them to backend servers.
 */
import {
	OpenRequests, Supervisor, waitFor, type AvailabilityZone, type BoxId, type Clock,
	type IdSource, type Logger,
} from '../common/index.js';
import type {PlanRequest, RetryRequest} from '../planning/index.js';
import {
	FleetState, Follower, followTiming, SourceHealth, type FleetSource, type RoutingConfig,
} from '../routing/index.js';
import type {PackedText} from '../rpc/packed-text.js';
import {
	CallService, NodeBuffers, Reservations, TcpDialer, type ServerDialer,
} from './calls/index.js';
import {LinkedPool, RelayPeers, RelayService} from './links/index.js';
import {FleetPlacer} from './scheduling/index.js';
import {
	type Adoption, type DecisionAnswer, heartbeatInterval, listCallerAddresses, type Peer, PeerClients, Peers, PeerService, PeerSocket,
} from './peers/index.js';
import {
	register, SourceAgeReporter, ViewResponder, ViewExchange,
} from './views/index.js';
import {acceptPending} from './accept-pending.js';
import {createEvacuationFollower} from './evacuation-follower.js';
import {GatewayMetrics} from './gateway-metrics.js';
import type {GatewaySettings} from './gateway-settings.js';
import {StatusReader} from './node-status.js';
import {StopSchedule} from './stop-schedule.js';
import {AddressLifetime} from './address-lifetime.js';
import {compareSettings, type SettingsChange} from './settings-change.js';
import {computeDigest} from './digest.js';
import {
	defaultBodyLimit, defaultIdleTimeout, openAddressServer, openCallersServer, openMetricsServer, openPeersServer, openReadyServer, type OpenServer,
} from './servers.js';
import type {GatewayWire} from './wire.js';

/** Dependencies of a gateway. */
export type GatewayParts = {
	settings: GatewaySettings;
	source: FleetSource;
	wire: GatewayWire;
	clock: Clock;
	ids: IdSource;
	logger: Logger;
	/** Uniform random numbers in [0, 1). */
	random: () => number;
	/** Opens connections to backend servers; over TCP by default. */
	dialer?: ServerDialer;
};

/** Interval between checks whether all calls have ended, in milliseconds. */
const drainPollInterval = 50;

/** Minimum time for the answers to calls that are cut off, and the interval between checks whether all are sent, in milliseconds. */
const minAnswerTime = 250;
const answerPollInterval = 5;

const bytesPerMegabyte = 1_000_000;

/** Length of an incarnation id, in characters: makes a collision among thousands improbable. */
const incarnationLength = 6;

/** One gateway process. */
export class Gateway extends PeerService {
	readonly state: FleetState;
	readonly metrics = new GatewayMetrics();
	readonly #parts: GatewayParts;
	readonly #pool: LinkedPool;
	readonly #relays: RelayService;
	readonly #clients: PeerClients;
	readonly #peers: Peers;
	readonly #placer: FleetPlacer;
	readonly #calls: CallService;
	readonly #buffers: NodeBuffers | undefined;
	readonly #servers: OpenServer[] = [];
	#callersServer: OpenServer | undefined;
	readonly #openRequests = new OpenRequests();
	readonly #supervisorStop = new AbortController();
	readonly #incarnation: string;
	readonly #addressLifetime: AddressLifetime;
	readonly #socket: PeerSocket;
	readonly #views: ViewExchange;
	readonly #viewResponder: ViewResponder;
	readonly #sourceAgeReporter: SourceAgeReporter;
	readonly #status: StatusReader;
	readonly #sourceHealth = new SourceHealth();
	#isStopping = false;
	#stopSchedule: StopSchedule | undefined;
	/** When periodic work was last done, by the monotonic clock in milliseconds. */
	#tickedAt: number;
	#running: Promise<void> | undefined;

	constructor(parts: GatewayParts) {
		super();
		const {clock, logger, wire} = parts;
		this.#parts = {...parts};
		this.#tickedAt = clock.readMonotonic();
		this.#addressLifetime = new AddressLifetime(clock, parts.settings.address_lifetime_seconds);
		this.#incarnation = computeDigest(parts.ids.createUuid(), incarnationLength);
		this.state = new FleetState(clock, logger, {followsEvacuations: parts.settings.evacuations !== undefined});
		const dialer = parts.dialer ?? new TcpDialer(clock);
		this.#pool = new LinkedPool({
			clock,
			logger,
			metrics: this.metrics,
			dialer,
			random: parts.random,
			relays: new RelayPeers({clock, random: parts.random, listLive: () => this.#peers.listLive()}),
			findServer: id => this.state.findServer(id),
			listServers: () => (this.state.table?.config.services ?? []).flatMap(({name}) => this.state.listServers(name)),
			reportPath: wire.reportPath,
		});
		this.#clients = new PeerClients(clock, () => {
			this.metrics.countAbandonedConnections('peer');
		});
		this.#viewResponder = new ViewResponder(this.state);
		if (parts.settings.cold_servers !== undefined) {
			this.state.coldServers.enable();
		}

		const self = () => this.#describeSelf();
		this.#views = new ViewExchange({
			clock,
			logger,
			state: this.state,
			clients: this.#clients,
			self,
			isFirstStart: parts.settings.first_start && !isSeed(parts.settings),
			health: this.#sourceHealth,
			onStalled: part => {
				this.metrics.countAbandonedConnections(part);
			},
		});
		this.#sourceAgeReporter = new SourceAgeReporter({
			logger, metrics: this.metrics, state: this.state, isWatcher: () => this.isWatcher,
		});
		this.#peers = new Peers({
			clock, logger, self, view: () => this.#views.describeView(), random: parts.random,
		});
		this.#socket = new PeerSocket({
			clock,
			logger,
			peers: this.#peers,
			host: findHost(parts.settings),
			port: parts.settings.heartbeat_port,
			onHeartbeat: () => {
				this.#tick();
			},
			onPlanUpdate: update => {
				this.#placer.applyPlanUpdate(update);
			},
		});
		this.#peers.addChangeListener(() => {
			this.#socket.announce();
		});
		this.#peers.addViewListener((peer, view) => {
			this.#views.compareView(peer, view);
			this.#status.recordView(peer, view);
		});
		const {retry: {ratio, slack, window_seconds: seconds}, organisation_shares: shares} = parts.settings;
		this.#placer = new FleetPlacer({
			clock,
			logger,
			metrics: this.metrics,
			ids: parts.ids,
			state: this.state,
			peers: this.#peers,
			clients: this.#clients,
			socket: this.#socket,
			retries: {ratio, slack, window: seconds * 1000},
			coldAllowance: parts.settings.cold_servers,
			sharesMemory: shares === undefined ? undefined : shares.memory_seconds * 1000,
			countConfigured: () => countConfiguredNodes(this.#parts.settings),
			self,
		});
		const {buffers} = parts.settings;
		this.#buffers = buffers === undefined
			? undefined
			: new NodeBuffers({
				clock, logger, metrics: this.metrics, budget: buffers.memory_mb * bytesPerMegabyte * buffers.memory_share,
			});
		this.#calls = new CallService({
			clock,
			logger,
			metrics: this.metrics,
			state: this.state,
			wire,
			pool: this.#pool,
			placer: this.#placer,
			reservations: new Reservations({
				clock, logger, wire, pool: this.#pool, isLive: id => this.state.hasServer(id),
			}),
			dialer,
			buffers: this.#buffers,
			node: parts.settings.box as BoxId,
			availabilityZone: parts.settings.availability_zone as AvailabilityZone,
			random: parts.random,
			estimateReturnDelay: () => this.#estimateReturnDelay(),
		});
		this.#relays = new RelayService({
			logger,
			metrics: this.metrics,
			wire,
			pool: this.#pool,
			placer: this.#placer,
			findUsableServer: id => this.state.findUsableServer(id),
			findServer: id => this.state.findServer(id),
			isStopping: () => this.#isStopping,
		});
		this.#status = new StatusReader({
			clock,
			state: this.state,
			peers: this.#peers,
			placer: this.#placer,
			self,
			isStopping: () => this.#isStopping,
			isWatcher: () => this.isWatcher,
			countCalls: () => this.#calls.inProgress,
			monitor: this.#pool.monitor,
		});
		this.state.addRestartListener(ended => {
			this.#pool.closeIdle(ended.address);
			this.#calls.handleServerRestart(ended.id);
		});
		this.state.addListener(() => {
			this.#socket.announce();
			this.#applyLimits();
		});
	}

	/** Whether the node accepts calls and can serve them. */
	get isReady(): boolean {
		return !this.#isStopping && this.state.isUsable;
	}

	/** Whether this node is one of those that watch the source. */
	get isWatcher(): boolean {
		return this.#views.isWatcher;
	}

	/** Resolves when all supervised components have ended; rejects when one has exceeded its restart budget. */
	get running(): Promise<void> {
		return this.#running ?? Promise.resolve();
	}

	/** Live nodes that are ready for calls, this one included when it is. */
	listReadyNodes(): Peer[] {
		return this.#peers.listReady();
	}

	/** Opens the listeners and starts all components. */
	async start(): Promise<void> {
		const {settings, wire} = this.#parts;
		const host = findHost(settings);
		const listeners = [
			async () => openPeersServer(settings.listen.peers, this, (request, body, response) => {
				this.#relays.serve(request, body, response);
			}),
			async () => openReadyServer(settings.listen.ready, wire, () => this.isReady),
			async () => openAddressServer(settings.listen.addresses, wire, zone => this.#listAddresses(zone)),
			async () => openMetricsServer(`${host}:${settings.metrics_port}`, this.metrics, () => this.#status.formatText()),
		];
		for (const open of listeners) {
			// Remembered once it is open, so that a failed start closes it.
			this.#servers.push(await open());
		}

		this.#callersServer = await openCallersServer(settings.listen.callers, {
			wire,
			clock: this.#parts.clock,
			openRequests: this.#openRequests,
			isStopping: () => this.#isStopping,
			findBodyLimit: () => this.state.table?.config.limits.bodyBytes ?? defaultBodyLimit,
			findIdleTime: () => this.state.table?.config.limits.idleTime ?? defaultIdleTimeout,
			serve: async (request, body, sink, response) => this.#calls.serve(request, body, sink, response),
		});
		this.#servers.push(this.#callersServer);
		this.#addSeeds(host);
		this.#running = this.#supervise();
		const {source, clock, logger} = this.#parts;
		void register({
			clock, logger, source, state: this.state, peers: this.#peers, views: this.#views, self: () => this.#describeSelf(),
		}, this.#supervisorStop.signal);
	}

	/** Tells which of the changed settings would take effect at once. */
	compareSettings(changed: GatewaySettings): SettingsChange {
		return compareSettings(this.#parts.settings, changed);
	}

	/** Applies those changed settings that a running node can. */
	changeSettings(changed: GatewaySettings): void {
		const {inForce, taken} = this.compareSettings(changed);
		this.#parts.settings = inForce;
		this.#addressLifetime.change(inForce.address_lifetime_seconds);
		this.#placer.setAllowedRetries(inForce.retry);
		this.#addSeeds(findHost(inForce));
		if (taken.includes('log.level')) {
			this.#parts.logger.level = inForce.log.level;
		}
	}

	/**
	 * Stops gracefully.
	 *
	 * The node is removed from address answers at once, but accepts calls until the answers that
	 * list it have expired. Then it stops accepting, so that no call arrives too late to be
	 * served, and ends when no call is left or the grace period is over. `signalledAt` is the earliest
	 * time at which the stop may have been requested, by the monotonic clock in milliseconds.
	 */
	async stop(signalledAt = this.#estimateSignalTime()): Promise<void> {
		const {clock, logger, settings} = this.#parts;
		this.#isStopping = true;
		const noticedAt = clock.readMonotonic();
		const schedule = new StopSchedule(signalledAt, settings.stop.grace_seconds * 1000, noticedAt - signalledAt + this.#addressLifetime.computeRemaining());
		this.#stopSchedule = schedule;
		logger.info({event: 'stopping', calls: this.#calls.inProgress, noticedAfter: Math.round(noticedAt - signalledAt)}, 'the node is stopping; calls in progress continue');
		this.#calls.planStop(schedule);
		await waitFor(clock, Math.max(0, schedule.acceptUntil - clock.readMonotonic()));
		this.#calls.refuseNew();
		do {
			// Without another ready node, callers get an answer that says when to return instead of a refused connection.
			if (this.#peers.listReady().length > 0) {
				await this.#closeListener();
			}

			// Also the time in which the request of a connection that was accepted last can be read.
			await waitFor(clock, drainPollInterval);
			// A connection that was busy when the node stopped accepting is closed as soon as it is idle.
			this.#callersServer?.server.closeIdleConnections();
		} while (this.#openRequests.count + this.#relays.inProgress > 0 && clock.readMonotonic() < schedule.cutOffAt);

		logger.info({event: 'stopped', cutOff: this.#calls.inProgress, took: Math.round(clock.readMonotonic() - signalledAt)}, 'the node shuts down');
		await this.close();
	}

	/** Stops immediately; calls in progress are cut off, with an answer that says so where none has begun. */
	async close(): Promise<void> {
		const {clock, logger} = this.#parts;
		this.#calls.stopNow();
		this.#relays.stopNow();
		await this.#closeListener();
		const answerUntil = Math.max(this.#stopSchedule?.answerUntil ?? 0, clock.readMonotonic() + minAnswerTime);
		do {
			// Also the time in which the requests of connections that were accepted last can be read.
			await waitFor(clock, answerPollInterval);
		} while (this.#openRequests.count + this.#relays.inProgress > 0 && clock.readMonotonic() < answerUntil);

		const unanswered = this.#openRequests.count;
		// Callers must not wait for the parts below, which may take long in a busy process.
		this.#callersServer?.server.closeAllConnections();
		this.#supervisorStop.abort();
		await Promise.allSettled([this.#running]);
		await Promise.all(this.#servers.map(async server => {
			server.server.closeAllConnections();
			await server.close();
		}));
		await Promise.all([this.#clients.close(), this.#pool.close(), this.#parts.source.close()]);
		logger.info({event: 'closed', unanswered, sinceSignal: this.#stopSchedule === undefined ? undefined : Math.round(clock.readMonotonic() - this.#stopSchedule.signalledAt)}, 'all connections are closed');
	}

	override decide(request: PlanRequest): DecisionAnswer {
		return this.#placer.decideFor(request);
	}

	override grantRetry(request: RetryRequest): boolean {
		return this.#placer.grantRetry(request);
	}

	override adopt(adoption: Adoption): void {
		this.#placer.adopt(adoption);
	}

	override takeServers(known: {revision: number}): PackedText | undefined {
		return this.#viewResponder.takeServers(known);
	}

	override takeConfig(known: {version: number}): PackedText | undefined {
		return this.#viewResponder.takeConfig(known);
	}

	/** Time until another node serves requests, in milliseconds: at once when one is ready, else when this one has stopped and is replaced. */
	#estimateReturnDelay(): number {
		return this.#peers.listReady().length > 0 ? 0 : Math.max(0, (this.#stopSchedule?.cutOffAt ?? 0) - this.#parts.clock.readMonotonic());
	}

	/** Earliest time at which a signal that is noticed now may have been sent: periodic work is overdue when the process was delayed. */
	#estimateSignalTime(): number {
		const now = this.#parts.clock.readMonotonic();
		return now - this.#tickedAt > heartbeatInterval ? this.#tickedAt : now;
	}

	/** Accepts no new connections but those that wait already. */
	async #closeListener(): Promise<void> {
		const callers = this.#callersServer?.server;
		if (callers?.listening === true) {
			await acceptPending(callers);
			callers.close();
		}
	}

	#listAddresses(zone: AvailabilityZone): {addresses: string[]; lifetime: number} {
		// A node without live peers that cannot reach its source is more likely partitioned than the only one left.
		const isCutOff = this.#peers.listLive().length === 0 && !this.state.isSourceReachable;
		const candidates = [...this.#peers.listReady(), ...(isCutOff ? this.#peers.listKnown().filter(peer => peer.isReady) : [])];
		return {addresses: listCallerAddresses(candidates, zone), lifetime: this.#addressLifetime.seconds};
	}

	#describeSelf(): Peer {
		const {settings} = this.#parts;
		return {
			name: settings.box as BoxId,
			life: this.#incarnation,
			availabilityZone: settings.availability_zone as AvailabilityZone,
			callerAddress: settings.listen.callers,
			peerAddress: settings.listen.peers,
			beatAddress: `${findHost(settings)}:${settings.heartbeat_port}`,
			cores: settings.cpu.share * settings.cpu.cores,
			isReady: this.isReady,
			isSourceReachable: this.state.isSourceReachable,
			hearsSource: this.#views.hearsSource,
		};
	}

	#addSeeds(host: string): void {
		const {settings} = this.#parts;
		for (const seed of settings.seeds) {
			const seedHost = seed.split(':')[0];
			if (seedHost !== host) {
				this.#peers.addCandidate(`${seedHost}:${settings.heartbeat_port}`);
			}
		}
	}

	async #supervise(): Promise<void> {
		const {clock, logger, random, source} = this.#parts;
		const supervisor = new Supervisor('gateway', clock, logger);
		const mayQuerySource = () => this.#views.mayQuerySource;
		const health = this.#sourceHealth;
		supervisor.addChild(new Follower({
			name: 'configuration',
			timing: followTiming,
			health,
			isAssigned: mayQuerySource,
			source: source.configurations,
			state: this.state,
			onList: listing => {
				this.#applyConfigs(listing.items);
			},
			onChanges: ({changes}) => {
				this.#applyConfigs(changes.flatMap(change => change.item === undefined ? [] : [change.item]));
			},
		}, {clock, logger, random}));
		supervisor.addChild(new Follower({
			name: 'servers',
			timing: followTiming,
			health,
			isAssigned: mayQuerySource,
			source: source.servers,
			state: this.state,
			onList: listing => {
				this.state.applyServerList(listing, 'source');
			},
			onChanges: ({changes, revision}) => {
				this.state.applyServerChanges(changes, revision, 'source');
			},
		}, {clock, logger, random}));
		const {evacuations} = this.#parts.settings;
		if (evacuations !== undefined) {
			supervisor.addChild(createEvacuationFollower({
				clock, logger, random, source, health, state: this.state, isAssigned: mayQuerySource,
			}, evacuations.apply_within_ms));
		}

		supervisor.addChild(this.#socket);
		await supervisor.run(this.#supervisorStop.signal);
	}

	#applyConfigs(configs: RoutingConfig[]): void {
		for (const config of configs) {
			this.state.applyConfig(config, 'source');
		}
	}

	/** Periodic work, done at each heartbeat. */
	#tick(): void {
		this.#tickedAt = this.#parts.clock.readMonotonic();
		this.#pool.prune();
		this.#placer.tick();
		this.#views.chooseWatchers(this.#peers);
		this.metrics.setState('live_nodes', this.#peers.countLive() + 1);
		this.metrics.setState('config_version', this.state.configVersion);
		this.metrics.setConfigLag(this.#views.reportLag());
		this.#sourceAgeReporter.tick();
		this.metrics.setState('usable_servers', this.state.usableServers);
		this.metrics.setState('foreign_servers', this.state.foreignCount);
		if (this.state.evacuations !== undefined) {
			this.metrics.setState('evacuated_zones', this.state.evacuations.list().length);
		}

		if (this.#parts.settings.cold_servers !== undefined) {
			this.metrics.setState('cold_servers', this.state.coldServers.size);
		}

		if (this.#buffers !== undefined) {
			this.metrics.setBufferedBytes(this.#buffers.held);
		}

		this.metrics.setState('calls', this.#calls.inProgress);
	}

	/** Applies the configuration's timeouts to new connections. */
	#applyLimits(): void {
		const limits = this.state.table?.config.limits;
		const callers = this.#callersServer?.server;
		if (limits !== undefined && callers !== undefined) {
			callers.headersTimeout = limits.headerTime;
			callers.keepAliveTimeout = limits.idleTime;
		}
	}
}

/** Whether the settings list this node as a seed. */
function isSeed(settings: GatewaySettings): boolean {
	return settings.seeds.some(seed => seed.split(':')[0] === findHost(settings));
}

/** Number of nodes that the settings list, this one included. */
function countConfiguredNodes(settings: GatewaySettings): number {
	return new Set([findHost(settings), ...settings.seeds.map(seed => seed.split(':')[0])]).size;
}

function findHost(settings: GatewaySettings): string {
	return settings.listen.callers.split(':')[0];
}
