/** Watches this node's links to backend servers: logs when they are cut and restored, and probes cut ones, since no request is sent over them. */
import type {
	BackendServerId, Clock, Logger, Timer,
} from '../../common/index.js';
import {
	ServerLinks, type BackendServer, type FailedLinkReport, type LinkFailure,
} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';

/** Time between two probes while the node reaches no server, in milliseconds. */
const isolatedProbeInterval = 250;

/** Maximum number of probes in progress. */
const maxProbes = 4;

/** Number of servers that are probed when the node may be isolated. */
const probedOthers = 2;

/** Maximum number of servers in a log line. */
const maxServersLogged = 8;

/** Dependencies of the monitor. */
export type LinkMonitorParts = {
	clock: Clock;
	logger: Logger;
	metrics: GatewayMetrics;
	findServer: (id: BackendServerId) => BackendServer | undefined;
	/** Lists the servers of all services. */
	listServers: () => BackendServer[];
	/** Whether other nodes may forward requests. */
	hasOtherWay: () => boolean;
	/** Uniform random numbers from 0 up to 1. */
	random: () => number;
	/** Whether a server answers over this node's own link; the result is recorded as evidence. */
	probe: (server: BackendServer) => Promise<boolean>;
};

/** Monitors the links of one node. */
export class LinkMonitor {
	readonly links = new ServerLinks();
	readonly #parts: LinkMonitorParts;
	readonly #probing = new Set<BackendServerId>();
	#timer: Timer | undefined;
	#isStopped = false;

	constructor(parts: LinkMonitorParts) {
		this.#parts = parts;
	}

	/** Records that a server has answered over the own link; `isNew` on a connection that was opened for the request. */
	recordAnswer(server: BackendServerId, isNew: boolean): void {
		const {clock, logger} = this.#parts;
		const now = clock.readMonotonic();
		const {isolatedSince} = this.links;
		const wasAvoided = this.links.isAvoided(server);
		this.links.recordAnswer(server, isNew, now);
		if (wasAvoided && !this.links.isAvoided(server)) {
			logger.info({event: 'link_restored', server}, 'a backend server answers over a link that was cut');
		}

		if (isolatedSince !== undefined && this.links.isolatedSince === undefined) {
			logger.warn({
				event: 'isolation_ended', server, took: Math.round(now - isolatedSince), stillCut: this.links.describe(maxServersLogged, now),
			}, 'this node reaches backend servers again');
			this.links.expectRecovery();
			this.#restartTimer();
		}
	}

	/** Records a failed attempt over the own link. */
	recordFailure(server: BackendServerId, failure: LinkFailure): void {
		const {clock, logger, metrics, listServers} = this.#parts;
		if (this.#isStopped) {
			return;
		}

		const now = clock.readMonotonic();
		const {isolatedSince} = this.links;
		const wasAvoided = this.links.isAvoided(server);
		this.links.recordFailure(server, failure, listServers().length, now);
		metrics.countLinkFailure(failure);
		if (!wasAvoided && this.links.isAvoided(server)) {
			logger.info({event: 'link_cut', server, failure}, 'a backend server took no connection; requests take other ways until it answers');
		}

		if (isolatedSince === undefined && this.links.isolatedSince !== undefined) {
			logger.warn({event: 'isolation_began', evidence: this.links.describe(maxServersLogged, now)}, 'this node reaches no backend server; other nodes forward its requests');
			this.#restartTimer();
		}

		this.#probeOthers(now);
		this.#schedule();
	}

	/** Records that another node has reached a server that did not answer this one. */
	recordCut(server: BackendServerId): void {
		if (!this.links.isAvoided(server)) {
			this.links.markAvoided(server, this.#parts.clock.readMonotonic());
			this.#parts.logger.info({event: 'link_cut', server, failure: 'reached_by_another_node'}, 'another node reached a backend server that did not answer; requests take other ways until it answers');
			this.#schedule();
		}
	}

	/** Time for which this node has reached no server, in milliseconds; undefined while it reaches some. */
	measureIsolation(): number | undefined {
		const {isolatedSince} = this.links;
		return isolatedSince === undefined ? undefined : Math.round(this.#parts.clock.readMonotonic() - isolatedSince);
	}

	/** Lists up to `max` failed links, oldest first. */
	describe(max: number): FailedLinkReport[] {
		return this.links.describe(max, this.#parts.clock.readMonotonic());
	}

	/** Forgets links to servers that no longer exist. */
	prune(): void {
		this.links.prune(id => this.#parts.findServer(id) !== undefined);
	}

	/** Stops probing. */
	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
	}

	#restartTimer(): void {
		this.#timer?.cancel();
		this.#timer = undefined;
		this.#schedule();
	}

	#schedule(): void {
		// Without another way there are no requests to bring back: attempts show the state of the links.
		if (this.#isStopped || this.#timer !== undefined || !this.#parts.hasOtherWay()) {
			return;
		}

		const now = this.#parts.clock.readMonotonic();
		const delay = this.links.isolatedSince === undefined ? this.links.computeProbeDelay(now) : isolatedProbeInterval;
		if (delay !== undefined) {
			this.#timer = this.#parts.clock.setTimer(delay, () => {
				this.#timer = undefined;
				this.#probeDue();
				this.#schedule();
			});
		}
	}

	#probeDue(): void {
		const {clock, listServers, random} = this.#parts;
		this.prune();
		const due = this.links.listDue(clock.readMonotonic());
		if (this.links.isolatedSince !== undefined) {
			// Also servers whose links have not failed: those that failed may have ended.
			const servers = listServers();
			const picked = servers[Math.floor(random() * servers.length)];
			due.splice(1, due.length, ...(picked === undefined ? [] : [picked.id]));
		}

		for (const id of due) {
			void this.#probe(id);
		}
	}

	/** Probes servers without failures when the node may be isolated: one that answers shows that it is not. */
	#probeOthers(now: number): void {
		const {listServers, hasOtherWay, random} = this.#parts;
		const servers = listServers();
		if (!hasOtherWay() || !this.links.isSuspicious(servers.length, now)) {
			return;
		}

		const others = servers.filter(({id}) => !this.links.hasFailed(id) && !this.#probing.has(id));
		const start = Math.floor(random() * others.length);
		for (const {id} of [...others.slice(start), ...others.slice(0, start)].slice(0, probedOthers)) {
			void this.#probe(id);
		}
	}

	async #probe(id: BackendServerId): Promise<void> {
		const server = this.#parts.findServer(id);
		if (server === undefined || this.#probing.has(id) || this.#probing.size >= maxProbes) {
			return;
		}

		this.#probing.add(id);
		await this.#parts.probe(server);
		this.#probing.delete(id);
	}
}
