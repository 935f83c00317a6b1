/**
 * A gateway's local state: the newest known configuration and backend servers.
 *
 * The configuration version only increases. Pure except for the clock.
 */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, type AvailabilityZone, type BackendServerId, type Clock, type Failure, type Logger, type ServiceName,
} from '../common/index.js';
import {ColdServers} from './cold-servers.js';
import type {ConfigChanges} from './config-changes.js';
import {ConfigHistory} from './config-history.js';
import type {Change, Listing} from './fleet-source.js';
import type {
	BackendServer, ColdStart, Organisation, Route, RoutingConfig, ServiceSpec,
} from './model.js';
import {chooseService, RouteTable} from './route-table.js';
import type {ServersSnapshot} from './server-snapshot.js';
import {ServerView} from './server-view.js';
import {listFollowedKinds, SourceAgeTracker, type FollowedKind} from './source-ages.js';
import {ZoneEvacuations} from './zone-evacuations.js';

/**
 * How long a node counts as disconnected from the source after a failed call, in milliseconds; then it may be assigned to follow again.
 *
 * While no node reaches the source the time grows with the fleet (`perNode`), so that the rate of attempts is the same
 * in a fleet of any size. Once another node reaches it the time is `min`.
 */
const outageRetention = {perNode: 130, min: 1000, max: 10_000};

/** The route, organisation and service of a call, by one version of the configuration. */
export type ResolvedCall = {
	route: Route;
	organisation?: Organisation;
	service: ServiceSpec;
	configVersion: number;
};

/** Configuration and backend servers as known to this node. */
export class FleetState {
	/** When the source last answered this node, and any node. */
	readonly sourceAgeTracker: SourceAgeTracker;
	/** The evacuated zones; undefined where the settings do not ask to follow them. */
	readonly evacuations: ZoneEvacuations | undefined;
	/** Kinds of items that this node follows. */
	readonly followedKinds: readonly FollowedKind[];
	/** Servers that are cold. */
	readonly coldServers: ColdServers;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #servers: ServerView;
	readonly #listeners = new Set<() => void>();
	readonly #restartListeners = new Set<(ended: BackendServer) => void>();
	readonly #configs = new ConfigHistory();
	/** Kinds whose last call failed, and when it did, by the monotonic clock. */
	readonly #outages = new Map<FollowedKind, number>();
	#table: RouteTable | undefined;
	#fleetSize = Infinity;

	constructor(clock: Clock, logger: Logger, {followsEvacuations = false}: {followsEvacuations?: boolean} = {}) {
		this.followedKinds = listFollowedKinds(followsEvacuations);
		this.sourceAgeTracker = new SourceAgeTracker(clock);
		this.#clock = clock;
		this.#logger = logger;
		this.coldServers = new ColdServers({clock, logger, findColdStart: service => this.#findColdStart(service)});
		this.#servers = new ServerView({
			coldServers: this.coldServers,
			clock,
			logger,
			onChange: () => {
				this.#notify();
			},
			onRestart: ended => {
				for (const listener of this.#restartListeners) {
					listener(ended);
				}
			},
		});
		this.evacuations = followsEvacuations
			? new ZoneEvacuations({
				clock,
				logger,
				onChange: () => {
					this.#notify();
				},
			})
			: undefined;
	}

	/** The current configuration; undefined until one was received. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Version of the current configuration; 0 before the first. */
	get configVersion(): number {
		return this.#table?.config.version ?? 0;
	}

	/** Revision up to which server changes are known. */
	get serversRevision(): number {
		return this.#servers.revision;
	}

	/** Number of servers that accept new requests. */
	get usableServers(): number {
		if (this.evacuations === undefined || this.evacuations.list().length === 0) {
			return this.#servers.usableCount;
		}

		const services = this.#table?.config.services ?? [];
		return services.reduce((sum, {name}) => sum + this.listServers(name).length, 0);
	}

	/** Number of foreign entries among those of servers. */
	get foreignCount(): number {
		return this.#servers.foreignCount;
	}

	/** Whether no call to the source has failed recently, and servers are known. */
	get isSourceReachable(): boolean {
		const now = this.#clock.readMonotonic();
		const retention = Math.min(outageRetention.max, Math.max(outageRetention.min, this.#fleetSize * outageRetention.perNode));
		const lastFailureAt = Math.max(-Infinity, ...this.#outages.values());
		const hasAnsweredSince = this.followedKinds.every(kind => now - (this.sourceAgeTracker.measureFleetAge(kind) ?? Infinity) > lastFailureAt);
		const isDisconnected = now - lastFailureAt < (hasAnsweredSince ? outageRetention.min : retention);
		return !isDisconnected && this.#servers.revision > 0;
	}

	/** Sets the number of nodes in the fleet. */
	setFleetSize(size: number): void {
		this.#fleetSize = size;
	}

	/** Whether calls can be served: a configuration, servers and, where they are followed, evacuations are known, from the source or from another node. */
	get isUsable(): boolean {
		return this.#table !== undefined && (this.#servers.revision > 0 || this.#servers.size > 0) && this.#knowsEvacuations;
	}

	/** Whether the last call to the source failed, for servers or for the configuration. */
	get hasSourceOutage(): boolean {
		return this.#outages.size > 0;
	}

	/** Formats the known servers as a string that is equal for equal views. */
	describeServers(): string {
		return this.#servers.formatServers();
	}

	/** Adds a listener for changes; returns a function that removes it. */
	addListener(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Adds a listener for server restarts; it receives the previous incarnation. */
	addRestartListener(listener: (previous: BackendServer) => void): void {
		this.#restartListeners.add(listener);
	}

	/** Applies a configuration unless it is older than the current one. */
	applyConfig(config: RoutingConfig, origin: string): void {
		if (config.version <= this.configVersion) {
			return;
		}

		const from = this.configVersion;
		this.#table = new RouteTable(this.#configs.add(config));
		this.#logger.info({
			event: 'config_applied', from, to: config.version, routes: config.routes.length, origin,
		}, 'applied a configuration');
		this.#notify();
	}

	/** Computes the configuration changes for a node that knows an earlier version; undefined when there are none. */
	getConfigChanges(known: number): ConfigChanges | undefined {
		return this.#configs.computeChanges(known);
	}

	/** Applies another node's configuration changes; false when they start from a version that is not known here. */
	applyConfigChanges(changes: ConfigChanges, origin: string): boolean {
		const config = this.#configs.applyChanges(changes);
		if (config !== undefined) {
			this.applyConfig(config, origin);
		}

		return config !== undefined;
	}

	/** Applies a complete list of servers. */
	applyServerList(listing: Listing<BackendServer>, origin: string): void {
		this.#servers.applyList(listing, origin);
	}

	/** Applies server changes up to a revision. */
	applyServerChanges(changes: Array<Change<BackendServer>>, revision: number, origin: string): void {
		this.#servers.applyChanges(changes, revision, origin);
	}

	/** Returns all servers for a node that knows an earlier revision; undefined when it is up to date. */
	getServersSnapshot(known: number): ServersSnapshot | undefined {
		return this.#servers.takeSnapshot(known);
	}

	/** Applies another node's servers if they are of a later revision. */
	applyServers(snapshot: ServersSnapshot, origin: string): void {
		this.#servers.applySnapshot(snapshot, origin);
	}

	/** Records that the source does not answer for a kind: servers whose entries disappear from now on may still be running. */
	recordOutage(kind: FollowedKind): void {
		const isNew = !this.#outages.has(kind);
		this.#outages.set(kind, this.#clock.readMonotonic());
		this.#servers.recordOutage();
		if (isNew) {
			this.#notify();
		}
	}

	/** Records an answer of the source; after a long silence (`wasSilent`) servers whose entries disappeared may still be running, even if no call failed. */
	recordRecovery(kind: FollowedKind, wasSilent = false): void {
		const wasOut = this.#outages.delete(kind);
		this.#servers.recordRecovery(wasSilent);
		if (wasOut || wasSilent) {
			this.#notify();
		}
	}

	/** Lists the servers of a service that accept new requests and are in no evacuated zone. */
	listServers(service: ServiceName): BackendServer[] {
		const servers = this.#servers.list(service);
		return this.evacuations === undefined ? servers : servers.filter(server => !this.#isEvacuated(server));
	}

	/** Finds an incarnation of a server that accepts new requests and is in no evacuated zone. */
	findUsableServer(id: BackendServerId): BackendServer | undefined {
		const server = this.#servers.findUsableIncarnation(id);
		return server === undefined || this.#isEvacuated(server) ? undefined : server;
	}

	/** Finds a current incarnation of a server, including one that accepts no new requests. */
	findServer(id: BackendServerId): BackendServer | undefined {
		return this.#servers.findServer(id);
	}

	/** Finds the evacuated zone because of which an incarnation gets no new requests; undefined when it gets some, or none for another reason. */
	findEvacuatedZone(id: BackendServerId): AvailabilityZone | undefined {
		const server = this.#servers.findUsableIncarnation(id);
		return server !== undefined && this.#isEvacuated(server) ? server.availabilityZone : undefined;
	}

	/** Lists the evacuated zones in which a service has servers that are left out. */
	listEvacuatedZones(service: ServiceName): AvailabilityZone[] {
		if (this.evacuations === undefined || this.evacuations.list().length === 0) {
			return [];
		}

		const evacuated = this.#servers.list(service).filter(server => this.#isEvacuated(server));
		return [...new Set(evacuated.map(server => server.availabilityZone))].sort();
	}

	/** Marks an incarnation of a server as leaving for the rest of its life; returns whether that is new. */
	markServerLeaving(id: BackendServerId, origin: string): boolean {
		return this.#servers.markLeaving(id, origin);
	}

	/** Lists the current servers of a service that have said in answers, and not in their entries, that they are leaving. */
	listLeavingUnannounced(service: ServiceName): BackendServerId[] {
		return this.#servers.listLeavingUnannounced(service);
	}

	/** Whether an incarnation of a server is current, including one that accepts no new requests. */
	hasServer(id: BackendServerId): boolean {
		return this.#servers.hasIncarnation(id);
	}

	/** Resolves the route, organisation and service of a call; `random` is uniform from 0 up to 1 and selects among weighted services. */
	resolveCall(host: string, target: string, key: string | undefined, random: number): Either<Failure, ResolvedCall> {
		const table = this.#table;
		if (table === undefined) {
			return Left(createFailure('node_not_ready', 'this node has no configuration yet; use another address'));
		}

		if (!this.#knowsEvacuations) {
			return Left(createFailure('node_not_ready', 'this node does not know the evacuated zones yet; use another address'));
		}

		const route = table.findRoute(host, target.split('?', 1)[0]);
		if (route === undefined) {
			return Left(createFailure('unknown_path', `no route for host ${host} begins this path`));
		}

		const organisation = key === undefined ? undefined : table.findOrganisation(key);
		if (organisation === undefined && table.hasOrganisations && !route.isAnonymous) {
			return Left(createFailure('unknown_key', 'the key is missing or unknown'));
		}

		const name = chooseService(route, random);
		const service = name === undefined ? undefined : table.findService(name);
		if (service === undefined) {
			return Left(createFailure('no_backend_server', `route ${route.name} refers to no known service`));
		}

		return Right({
			route, organisation, service, configVersion: table.config.version,
		});
	}

	get #knowsEvacuations(): boolean {
		return this.evacuations?.isKnown ?? true;
	}

	#isEvacuated({availabilityZone}: BackendServer): boolean {
		return this.evacuations?.has(availabilityZone) ?? false;
	}

	/** While no configuration is known, any service may have cold starts. */
	#findColdStart(service: ServiceName): ColdStart | undefined {
		return this.#table === undefined ? {requestsPerSecond: 0, duration: 0} : this.#table.findService(service)?.coldStart;
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
