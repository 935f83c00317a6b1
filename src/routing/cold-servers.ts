/**
 * Backend servers that are cold, and until when by the monotonic clock. Pure except for the clock.
 *
 * A server states the time for which it is still cold in its entry and in answers; its later entries state less and less. One that appears while
 * requests are sent has just started and counts as cold, since its first entry may be older than its statement.
 *
 * Nothing is kept until `enable` is called.
 */
import type {
	BackendServerId, Clock, Logger, ServiceName,
} from '../common/index.js';
import type {BackendServer, ColdStart} from './model.js';

/** Maximum time for which one statement counts, in milliseconds: a wrong one must not limit a server for long, and a cold server repeats it every 1.2 s. */
const maxColdTime = 60_000;

/** Time after a statement that a server is cold before an answer of other content counts, in milliseconds: answers on different connections may be reordered. */
const reorderTime = 500;

/** Difference up to which a deadline from another node is the known one, in milliseconds: nodes that repeat each other's reports must not extend it by the time in transit. */
const deadlineTolerance = 250;

/** A cold server and the time for which it is still cold, in milliseconds. */
export type ColdServer = {server: BackendServerId; coldFor: number};

/** Where a statement comes from. An entry counts as it is; a report of another node only extends the time. */
export type ColdOrigin = 'entry' | 'answer' | 'report' | 'start';

type KnownCold = {service: ServiceName; until: number; statedAt: number; origin: ColdOrigin};

/** An entry of a server as the view applies it. */
export type ColdEntry = {
	server: BackendServer;
	/** Whether its incarnation was not known before. */
	isNew: boolean;
	/** Whether it belongs to the first servers that the node receives. */
	isFirstView: boolean;
	/** Whether this entry is known: its time has been counted from when it was received first. */
	isRepeated: boolean;
};

/** Dependencies of the cold servers. */
export type ColdServersParts = {
	clock: Clock;
	logger: Logger;
	findColdStart: (service: ServiceName) => ColdStart | undefined;
};

/** Listener for changes of one server; `coldFor` is 0 for one that is warm. */
export type ColdListener = (service: ServiceName, change: ColdServer) => void;

/** Cold servers of all services. */
export class ColdServers {
	readonly #parts: ColdServersParts;
	readonly #known = new Map<BackendServerId, KnownCold>();
	readonly #listeners = new Set<ColdListener>();
	#isEnabled = false;

	constructor(parts: ColdServersParts) {
		this.#parts = parts;
	}

	/** Number of cold servers. */
	get size(): number {
		this.prune();
		return this.#known.size;
	}

	/** Whether cold servers are kept. */
	get isEnabled(): boolean {
		return this.#isEnabled;
	}

	/** Starts to keep cold servers. */
	enable(): void {
		this.#isEnabled = true;
	}

	/** Adds a listener; it is called for each statement, also one that only repeats a deadline. */
	addListener(listener: ColdListener): void {
		this.#listeners.add(listener);
	}

	/** Applies the entry of a server. */
	applyEntry({server, isNew, isFirstView, isRepeated}: ColdEntry): void {
		if (!this.#isEnabled || isRepeated) {
			return;
		}

		const {id, service, coldFor = 0} = server;
		if (coldFor > 0) {
			this.#set(id, service, coldFor, 'entry');
		} else if (isNew && !isFirstView) {
			this.#assumeCold(id, service);
		} else if (this.#known.get(id)?.origin !== 'start') {
			// After a start an entry may be older than the first statement, so it does not end the assumed time.
			this.#setWarm(id, 'entry');
		}
	}

	/** Applies what a server has stated in an answer; returns whether it has become cold or warm by it. */
	applyAnswer(id: BackendServerId, service: ServiceName, coldFor: number): boolean {
		if (!this.#isEnabled) {
			return false;
		}

		if (coldFor > 0) {
			return this.#set(id, service, coldFor, 'answer');
		}

		const known = this.#known.get(id);
		return known !== undefined && this.#now - known.statedAt >= reorderTime && this.#setWarm(id, 'answer');
	}

	/** Applies what another node knows; returns whether the server has become cold by it. */
	applyReport(id: BackendServerId, service: ServiceName, coldFor: number): boolean {
		const until = this.#known.get(id)?.until ?? this.#now;
		return this.#isEnabled && this.#now + coldFor > until + deadlineTolerance && this.#set(id, service, coldFor, 'report');
	}

	/** Forgets a server that is gone. */
	remove(id: BackendServerId): void {
		this.#known.delete(id);
	}

	/** Time for which a server is still cold, in milliseconds; 0 for a warm one. */
	computeColdLeft(id: BackendServerId): number {
		return Math.max(0, (this.#known.get(id)?.until ?? 0) - this.#now);
	}

	/** Lists the cold servers of a service. */
	list(service: ServiceName): ColdServer[] {
		return this.#list(known => known.service === service);
	}

	/** Lists those that other nodes may not know of: their entries do not say that they are cold. */
	listUnannounced(service: ServiceName): ColdServer[] {
		return this.#list(known => known.service === service && known.origin !== 'entry');
	}

	/** Ends the cold time of servers whose deadline has passed. */
	prune(): void {
		for (const [id, {until}] of this.#known) {
			if (until <= this.#now) {
				this.#setWarm(id, 'deadline');
			}
		}
	}

	get #now(): number {
		return this.#parts.clock.readMonotonic();
	}

	#list(isWanted: (known: KnownCold) => boolean): ColdServer[] {
		this.prune();
		return [...this.#known].filter(([, known]) => isWanted(known)).map(([server, {until}]) => ({server, coldFor: until - this.#now}));
	}

	#assumeCold(id: BackendServerId, service: ServiceName): void {
		const duration = this.#parts.findColdStart(service)?.duration ?? 0;
		if (duration > 0) {
			this.#set(id, service, duration, 'start');
		}
	}

	/** Keeps a cold server, unless its service has no cold rate; returns whether it has become cold. */
	#set(server: BackendServerId, service: ServiceName, stated: number, origin: ColdOrigin): boolean {
		if (this.#parts.findColdStart(service) === undefined) {
			return false;
		}

		const coldFor = Math.min(maxColdTime, stated);
		const isNew = this.computeColdLeft(server) === 0;
		this.#known.set(server, {
			service, until: this.#now + coldFor, statedAt: this.#now, origin,
		});
		if (isNew) {
			this.#parts.logger.info({
				event: 'server_cold', server, service, coldFor: Math.round(coldFor), origin,
			}, 'a backend server is cold and takes fewer requests');
		}

		this.#notify(service, {server, coldFor});
		return isNew;
	}

	#setWarm(server: BackendServerId, origin: 'entry' | 'answer' | 'deadline'): boolean {
		const known = this.#known.get(server);
		if (known === undefined) {
			return false;
		}

		this.#known.delete(server);
		this.#parts.logger.info({
			event: 'server_warm', server, service: known.service, origin, before: known.origin, statedAgo: Math.round(this.#now - known.statedAt),
		}, 'a backend server is no longer cold');
		this.#notify(known.service, {server, coldFor: 0});
		return true;
	}

	#notify(service: ServiceName, change: ColdServer): void {
		for (const listener of this.#listeners) {
			listener(service, change);
		}
	}
}
