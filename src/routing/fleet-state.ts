/**
 * What a gateway believes: the newest configuration and the live backend servers.
 *
 * The configuration never goes back. Pure but for the clock.
 */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, type BackendServerId, type Clock, type Failure, type Logger, type ServiceName,
} from '../common/index.js';
import type {ConfigChanges} from './config-changes.js';
import {ConfigHistory} from './config-history.js';
import type {Change, Listing} from './fleet-source.js';
import type {
	BackendServer, Organisation, Route, RoutingConfig, ServiceSpec,
} from './model.js';
import {chooseService, RouteTable} from './route-table.js';
import {ServerView, type ServersSnapshot} from './server-view.js';
import {followedKinds, SourceAgeTracker, type FollowedKind} from './source-ages.js';

/**
 * How long a node that has asked the source in vain counts as cut off from it, in milliseconds: then it may be tried again.
 *
 * While nobody hears the source, for so long for each node of the fleet, so that as many are tried a second in any fleet; a
 * short time once another node has heard it.
 */
const outageRetention = {perNode: 130, min: 1000, max: 10_000};

/** Where a call goes, by one version of the configuration. */
export type ResolvedCall = {
	route: Route;
	organisation?: Organisation;
	service: ServiceSpec;
	configVersion: number;
};

/** The fleet as this node sees it. */
export class FleetState {
	/** When the source was heard last, here and by the fleet. */
	readonly sourceAgeTracker: SourceAgeTracker;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #servers: ServerView;
	readonly #listeners = new Set<() => void>();
	readonly #restartListeners = new Set<(ended: BackendServer) => void>();
	readonly #configs = new ConfigHistory();
	/** Kinds without an answer when they were last asked for, and when that was, by the monotonic clock. */
	readonly #outages = new Map<FollowedKind, number>();
	#table: RouteTable | undefined;
	#fleetSize = Infinity;

	constructor(clock: Clock, logger: Logger) {
		this.sourceAgeTracker = new SourceAgeTracker(clock);
		this.#clock = clock;
		this.#logger = logger;
		this.#servers = new ServerView({
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
	}

	/** The configuration in force; undefined until one has been read. */
	get table(): RouteTable | undefined {
		return this.#table;
	}

	/** Version of the configuration in force; 0 before the first. */
	get configVersion(): number {
		return this.#table?.config.version ?? 0;
	}

	/** Revision up to which changes of servers are known. */
	get serversRevision(): number {
		return this.#servers.revision;
	}

	/** How many servers take new work. */
	get usableServers(): number {
		return this.#servers.usableCount;
	}

	/** How many entries of other writers stand among those of servers. */
	get foreignCount(): number {
		return this.#servers.foreignCount;
	}

	/** Whether the source answered when it was last asked, unless that is long ago, and servers are known at all. */
	get isSourceReachable(): boolean {
		const now = this.#clock.readMonotonic();
		const memory = Math.min(outageRetention.max, Math.max(outageRetention.min, this.#fleetSize * outageRetention.perNode));
		const last = Math.max(-Infinity, ...this.#outages.values());
		const wasHeardSince = followedKinds.every(kind => now - (this.sourceAgeTracker.measureFleetAge(kind) ?? Infinity) > last);
		const isCutOff = now - last < (wasHeardSince ? outageRetention.min : memory);
		return !isCutOff && this.#servers.revision > 0;
	}

	/** Sets how many nodes the fleet has. */
	setFleetSize(size: number): void {
		this.#fleetSize = size;
	}

	/** Whether calls can be served: a configuration and servers are known, from whomever. */
	get isUsable(): boolean {
		return this.#table !== undefined && (this.#servers.revision > 0 || this.#servers.size > 0);
	}

	/** Whether the source did not answer when it was last asked, for servers or the configuration. */
	get hasSourceOutage(): boolean {
		return this.#outages.size > 0;
	}

	/** The servers known, as one text: equal for equal views. */
	describeServers(): string {
		return this.#servers.formatServers();
	}

	/** Calls back after each change, until the function that is returned is called. */
	addListener(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Calls back with the earlier life when a server has started again. */
	addRestartListener(listener: (previous: BackendServer) => void): void {
		this.#restartListeners.add(listener);
	}

	/** Puts a configuration in force, unless it is older than the one that is. */
	applyConfig(config: RoutingConfig, origin: string): void {
		if (config.version <= this.configVersion) {
			return;
		}

		const from = this.configVersion;
		this.#table = new RouteTable(this.#configs.add(config));
		this.#logger.info({
			event: 'config_applied', from, to: config.version, routes: config.routes.length, origin,
		}, 'a configuration is in force');
		this.#notify();
	}

	/** What changed in the configuration, for a node that knows it up to an earlier version. */
	getConfigChanges(known: number): ConfigChanges | undefined {
		return this.#configs.computeChanges(known);
	}

	/** Catches up from another node's changes of the configuration; false when they go on from a version that is not known here. */
	applyConfigChanges(changes: ConfigChanges, origin: string): boolean {
		const config = this.#configs.applyChanges(changes);
		if (config !== undefined) {
			this.applyConfig(config, origin);
		}

		return config !== undefined;
	}

	/** Takes a whole list of servers. */
	applyServerList(listing: Listing<BackendServer>, origin: string): void {
		this.#servers.applyList(listing, origin);
	}

	/** Takes changes of servers up to a revision. */
	applyServerChanges(changes: Array<Change<BackendServer>>, revision: number, origin: string): void {
		this.#servers.applyChanges(changes, revision, origin);
	}

	/** The servers, for a node that knows them up to an earlier revision. */
	getServersSnapshot(known: number): ServersSnapshot | undefined {
		return this.#servers.takeSnapshot(known);
	}

	/** Catches up from the servers of another node. */
	applyServers(snapshot: ServersSnapshot, origin: string): void {
		this.#servers.applySnapshot(snapshot, origin);
	}

	/** Notes that the source does not answer for one kind: servers that vanish from now on may still live. */
	recordOutage(kind: FollowedKind): void {
		const isNew = !this.#outages.has(kind);
		this.#outages.set(kind, this.#clock.readMonotonic());
		this.#servers.recordOutage();
		if (isNew) {
			this.#notify();
		}
	}

	/** Notes that the source answers for a kind; servers that vanished in a long silence may still live, also where no call has failed in it. */
	recordRecovery(kind: FollowedKind, wasSilent = false): void {
		const wasOut = this.#outages.delete(kind);
		this.#servers.recordRecovery(wasSilent);
		if (wasOut || wasSilent) {
			this.#notify();
		}
	}

	/** Servers of a service that take new work. */
	listServers(service: ServiceName): BackendServer[] {
		return this.#servers.list(service);
	}

	/** A life of a server that takes new work. */
	findUsableServer(id: BackendServerId): BackendServer | undefined {
		return this.#servers.findUsableIncarnation(id);
	}

	/** Whether a life of a server goes on, also one that takes no new work. */
	hasServer(id: BackendServerId): boolean {
		return this.#servers.hasIncarnation(id);
	}

	/** Finds where a call goes: its route, the organisation of its key, one of the route's services. */
	resolveCall(host: string, target: string, key: string | undefined, random: number): Either<Failure, ResolvedCall> {
		const table = this.#table;
		if (table === undefined) {
			return Left(createFailure('node_not_ready', 'this node has not read a configuration yet; use another address'));
		}

		const route = table.findRoute(host, target.split('?', 1)[0]);
		if (route === undefined) {
			return Left(createFailure('unknown_path', `no route for host ${host} begins this path`));
		}

		const organisation = key === undefined ? undefined : table.findOrganisation(key);
		if (organisation === undefined && table.hasOrganisations && !route.isAnonymous) {
			return Left(createFailure('unknown_key', 'the key is missing or not known'));
		}

		const name = chooseService(route, random);
		const service = name === undefined ? undefined : table.findService(name);
		if (service === undefined) {
			return Left(createFailure('no_backend_server', `route ${route.name} names no known service`));
		}

		return Right({
			route, organisation, service, configVersion: table.config.version,
		});
	}

	#notify(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
