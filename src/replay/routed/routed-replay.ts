/** Replays a drawn day: the routed path's real planner over servers that work in passes, on a virtual clock. */
import TinyQueue from 'tinyqueue';
import type {
	AvailabilityZone, BackendServerId, BackendServerName, RequestId,
} from '../../common/index.js';
import {Planner, type FleetVisibility} from '../../planning/index.js';
import type {BackendServer} from '../../routing/index.js';
import {createCountingIds} from '../counting-ids.js';
import {PassServer, type Schedule} from './pass-server.js';
import {
	ReplayedRequest, service, type ReplayWorld, type RoutedRecord,
} from './replayed-request.js';
import type {
	DrawnDay, Restart, Workload,
} from './workloads.js';

const zone = 'zone' as AvailabilityZone;

/** Time after which the entry of a lost server is gone from the source's list, in milliseconds: three heartbeats. */
const lapseTime = 3600;

type TimedRun = {at: number; order: number; run: () => void};

/** Replays a day to its end. The same day gives the same records. */
export function replayRouted(workload: Workload, day: DrawnDay): RoutedRecord[] {
	return new RoutedReplay(workload, day).run();
}

class RoutedReplay implements ReplayWorld {
	now = 0;
	readonly records: RoutedRecord[] = [];
	readonly servers = new Map<BackendServerId, PassServer>();
	/** When the nodes are there again; before now, except while they restart. */
	backAt = 0;
	readonly active = new Set<ReplayedRequest>();
	readonly schedule: Schedule;
	readonly #day: DrawnDay;
	readonly #workload: Workload;
	#planner: Planner;
	/** Planners of nodes that have not found each other yet, by their number. */
	#alone: Planner[] = [];
	readonly #ids = createCountingIds();
	readonly #queue = new TinyQueue<TimedRun>([], (left, right) => left.at - right.at || left.order - right.order);
	#order = 0;

	constructor(workload: Workload, day: DrawnDay) {
		this.#day = day;
		this.schedule = (delay, run) => {
			this.#queue.push({at: this.now + delay, order: this.#order++, run});
		};

		this.#workload = workload;
		this.#planner = this.#createPlanner();
		for (const {id} of this.#listServers()) {
			const server = new PassServer(workload.engine, this.schedule);
			server.pace = workload.pace ?? 1;
			this.servers.set(id, server);
		}
	}

	run(): RoutedRecord[] {
		for (const [index, request] of this.#day.requests.entries()) {
			this.schedule(request.at, () => {
				new ReplayedRequest(this, request, `r-${index}` as RequestId).arrive();
			});
		}

		const ids = [...this.servers.keys()];
		for (const loss of this.#day.losses) {
			const server = this.servers.get(ids[loss.server])!;
			this.schedule(loss.at, () => {
				server.die(loss.isDark);
			});
			this.schedule(loss.at + lapseTime, () => {
				this.#refreshServers();
			});
			this.schedule(loss.at + loss.lasts, () => {
				server.revive();
				this.#refreshServers();
			});
		}

		const {restart} = this.#day;
		if (restart !== undefined) {
			this.schedule(restart.at, () => {
				this.#restart(restart);
			});
		}

		for (let next = this.#queue.pop(); next !== undefined; next = this.#queue.pop()) {
			this.now = next.at;
			next.run();
		}

		return this.records;
	}

	/** Who decides for a request: one node for all, or its own while nodes have not found each other. */
	findPlanner(node: number): Planner {
		return this.#alone.length === 0 ? this.#planner : this.#alone[node % this.#alone.length];
	}

	/** What the deciding node sees of the fleet. */
	get sight(): FleetVisibility {
		return {seen: 1, known: Math.max(1, this.#alone.length)};
	}

	#listServers(): BackendServer[] {
		return Array.from({length: this.#workload.servers}, (_, index) => describeServer(index, this.#workload.engine.slots));
	}

	#createPlanner(): Planner {
		const planner = new Planner({ids: this.#ids, engine: this.#workload.engine, sharesMemory: this.#workload.sharesMemory});
		planner.setServers(this.#listServers(), this.#workload.engine);
		return planner;
	}

	/** The source lists those that live, and those that were lost a moment ago. */
	#refreshServers(): void {
		const gone = new Set(this.#day.losses.filter(loss => this.now >= loss.at + lapseTime && this.now < loss.at + loss.lasts).map(loss => loss.server));
		for (const planner of [this.#planner, ...this.#alone]) {
			planner.setServers(this.#listServers().filter((_, index) => !gone.has(index)), this.#workload.engine);
		}
	}

	/** All nodes are gone, and with them what they knew and carried out. */
	#restart({at, lasts, aloneFor}: Restart): void {
		this.backAt = at + lasts;
		this.#planner = this.#createPlanner();
		const {nodes = 1} = this.#workload;
		if (nodes > 1) {
			this.#alone = Array.from({length: nodes}, () => this.#createPlanner());
			this.schedule(lasts + aloneFor, () => {
				this.#join();
			});
		}

		for (const run of this.active) {
			run.cut();
		}
	}

	/** The nodes find each other: one decides for all, and is told what the others carry out. */
	#join(): void {
		this.#alone = [];
		this.#planner.adopt([...this.active].flatMap(run => run.plan === undefined ? [] : [{...run.plan, startIn: 0}]), this.now);
	}
}

function describeServer(index: number, slots: number): BackendServer {
	return {
		id: `i-${String(index).padStart(3, '0')}` as BackendServerId,
		name: `i-${String(index).padStart(3, '0')}` as BackendServerName,
		entryRevision: 1,
		service,
		address: `10.0.0.${index}:80`,
		availabilityZone: zone,
		slots,
		isLeaving: false,
	};
}
