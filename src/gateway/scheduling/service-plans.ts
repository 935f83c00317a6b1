/** Scheduling state of each service on one node. It is created at first use and follows the servers and the configuration. */
import type {
	Clock, IdSource, Logger, PlanId, ServiceName, Timer,
} from '../../common/index.js';
import {
	PlanHandover, Planner, RestingServers, type ColdAllowance, type Plan, type PlanEvent,
} from '../../planning/index.js';
import type {EngineProfile, FleetState} from '../../routing/index.js';
import type {Peer} from '../peers/heartbeat.js';
import {LeavingNotices} from './leaving-notices.js';
import type {PlanUpdateSender} from './plan-update-sender.js';
import {ReplicatedCold} from './replicated-cold.js';
import {ReplicatedCrashes} from './replicated-crashes.js';
import {ReplicatedLimits} from './replicated-limits.js';

/** Number of empty lists sent after the last plan has ended, as any of them may be lost. Idle nodes send nothing after that. */
export const emptyListRepeats = 3;

/** Scheduling state of one service on this node. */
export type ServicePlans = {
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

/** Dependencies of the registry. */
export type ServicePlansRegistryParts = {
	clock: Clock;
	logger: Logger;
	ids: IdSource;
	state: FleetState;
	updates: PlanUpdateSender;
	/** What is allowed beyond the rates of cold servers; undefined when they are not limited. */
	coldAllowance?: ColdAllowance;
	/** How long the usage of organisations is remembered, in milliseconds; undefined when they have no shares. */
	sharesMemory?: number;
};

/** Scheduling state of all services on this node. */
export class ServicePlansRegistry {
	readonly #parts: ServicePlansRegistryParts;
	readonly #services = new Map<ServiceName, ServicePlans>();

	constructor(parts: ServicePlansRegistryParts) {
		this.#parts = parts;
		parts.state.coldServers.addListener((service, change) => {
			this.#services.get(service)?.cold.applyChange(change);
		});
		parts.state.addListener(() => {
			this.#refreshServers();
		});
	}

	/** Finds the state of a service, and creates it at first use. */
	findPlans(service: ServiceName): ServicePlans {
		let plans = this.#services.get(service);
		if (plans === undefined) {
			const engine = this.#parts.state.table?.findService(service)?.engine;
			plans = this.#createPlans(service, engine);
			plans.planner.setServers(this.#parts.state.listServers(service), engine);
			this.#services.set(service, plans);
		}

		return plans;
	}

	/** Finds the state of a service; undefined before its first use. */
	findCreated(service: ServiceName): ServicePlans | undefined {
		return this.#services.get(service);
	}

	/** Lists the services in use with their state. */
	list(): Iterable<[ServiceName, ServicePlans]> {
		return this.#services;
	}

	#createPlans(service: ServiceName, engine: EngineProfile | undefined): ServicePlans {
		const {
			ids, clock, logger, state, updates, coldAllowance, sharesMemory,
		} = this.#parts;
		const planner = new Planner({ids, engine, sharesMemory});
		const parts = {
			service, planner, clock, logger, state, updates,
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
			cold: new ReplicatedCold(parts, coldAllowance),
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
