/** Decisions made by this node, as scheduling node or in place of it: how much of the fleet it sees, and which shares of the servers' limits it grants. */
import type {Either} from 'purify-ts';
import type {
	BoxId, Clock, Failure, Logger, ServiceName,
} from '../../common/index.js';
import {
	isColdRejection, isFirstAttempt,
	type ColdAllowance, type Decision, type FleetVisibility, type GrantedShares, type PlanRequest, type ShareReport,
} from '../../planning/index.js';
import type {FleetState} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Peers} from '../peers/peers.js';
import {ColdShares} from './cold-shares.js';
import {explainEvacuation, logDecision} from './decision-log.js';
import type {DistributedRetryBudget} from './distributed-retry-budget.js';
import type {SchedulerSelector} from './scheduler-selector.js';
import type {ServicePlans, ServicePlansRegistry} from './service-plans.js';

/** Share of the servers' request limits available to all nodes that schedule in place of the scheduling node. */
const fallbackLimitShare = 0.3;

/** Dependencies of the decider. */
export type LocalDeciderParts = {
	clock: Clock;
	logger: Logger;
	metrics: GatewayMetrics;
	state: FleetState;
	peers: Peers;
	schedulers: SchedulerSelector;
	services: ServicePlansRegistry;
	retries: DistributedRetryBudget;
	/** What is allowed beyond the rates of cold servers; undefined when they are not limited. */
	coldAllowance?: ColdAllowance;
	self: () => Peer;
};

/** Decides requests of all services from the plans known to this node. */
export class LocalDecider {
	readonly #parts: LocalDeciderParts;
	readonly #coldShares: ColdShares | undefined;

	constructor(parts: LocalDeciderParts) {
		this.#parts = parts;
		this.#coldShares = this.#createColdShares();
	}

	/** Decides as the scheduling node, for this node or another one. */
	decideAsScheduler(request: PlanRequest): Either<Failure, Decision> {
		const peers = this.#parts.peers.listLive();
		const live = peers.length + 1;
		const seen = this.#parts.services.findPlans(request.service).handover.countKnown(peers) + 1;
		const known = this.#parts.retries.countKnown();
		const isPreferred = this.#parts.schedulers.isPreferred(request.service);
		const limitShare = isPreferred ? Math.min(1, live / known) : fallbackLimitShare / known;
		this.#coldShares?.recordAsk(request.service, request.node, request.selectedFor ?? 0);
		return this.#decide(request, {seen, known, live}, this.#findShares(request, limitShare, isPreferred));
	}

	/** Decides in place of a scheduling node that did not respond or lacks servers. */
	decideAsFallback(request: PlanRequest): Either<Failure, Decision> {
		const known = this.#parts.retries.countKnown();
		return this.#decide(request, {seen: 1, known}, this.#findShares(request, fallbackLimitShare / known, false));
	}

	/** Adds for how long this node has selected the scheduling node, where shares depend on it. */
	addSelection(request: PlanRequest, plans: ServicePlans, scheduler: Peer): PlanRequest {
		return this.#coldShares === undefined ? request : {...request, selectedFor: this.measureSelection(request.service, plans, scheduler)};
	}

	/** Time for which this node has selected a node regardless of slowness, in milliseconds: one that only replaces a slow node for a moment has not been selected. */
	measureSelection(service: ServiceName, plans: ServicePlans, scheduler: Peer): number {
		const now = this.#parts.clock.readMonotonic();
		const {life} = this.#parts.schedulers.selectPreferred(service);
		if (plans.preferred?.life !== life) {
			plans.preferred = {life, since: now};
		}

		return scheduler.life === life ? now - plans.preferred.since : 0;
	}

	/** Records that another node reports its plans to this one. */
	recordReport(service: ServiceName, node: BoxId): void {
		this.#coldShares?.recordReport(service, node);
	}

	/** Decides from the plans known here: those of the nodes that have reported them, this one included. */
	#decide(request: PlanRequest, visibility: FleetVisibility, shares: number | GrantedShares): Either<Failure, Decision> {
		const {planner} = this.#parts.services.findPlans(request.service);
		const now = this.#parts.clock.readMonotonic();
		if (isFirstAttempt(request)) {
			this.#parts.retries.recordDecided(request);
		}

		const {logger, state} = this.#parts;
		const evacuated = state.listEvacuatedZones(request.service);
		const decided = planner.decide(request, now, visibility, shares).mapLeft(failure => explainEvacuation(failure, evacuated));
		this.#countColdLimited(request, decided);
		const share = planner.describeShare(request, now);
		this.#countScarceDecision(request.service, decided, share);
		logDecision(logger, request, decided, {
			inProgress: planner.planCount, configVersion: state.configVersion, serversRevision: state.serversRevision, ...visibility, ...(evacuated.length > 0 && {evacuated}), share,
		});
		decided.ifRight(decision => {
			if (decision.kind === 'plan' && decision.plan.avoided !== undefined) {
				this.#parts.metrics.countAvoidance(request.service, 'failures');
			}
		});
		return decided;
	}

	#findShares({service}: PlanRequest, limitShare: number, isPreferred: boolean): number | GrantedShares {
		return this.#coldShares === undefined ? limitShare : {declared: limitShare, cold: this.#coldShares.findShare(service, isPreferred)};
	}

	#createColdShares(): ColdShares | undefined {
		const {
			clock, peers, retries, coldAllowance, self,
		} = this.#parts;
		return coldAllowance === undefined
			? undefined
			: new ColdShares({
				clock,
				allowance: coldAllowance,
				self: () => self().name,
				listKnown: () => peers.listKnown().map(peer => peer.name),
				countSeen: () => peers.countLive() + 1,
				countKnown: () => retries.countKnown(),
			});
	}

	#countColdLimited({service, waited}: PlanRequest, decided: Either<Failure, Decision>): void {
		const result = decided.caseOf<'delayed' | 'rejected' | undefined>({
			Left: failure => isColdRejection(failure) ? 'rejected' : undefined,
			Right: decision => decision.kind === 'wait' && decision.reason === 'cold' && waited === 0 ? 'delayed' : undefined,
		});
		if (result !== undefined) {
			this.#parts.metrics.countColdLimited(service, result);
		}
	}

	#countScarceDecision(service: ServiceName, decided: Either<Failure, Decision>, share: ShareReport | undefined): void {
		if (share?.isScarce === true) {
			const result = decided.caseOf({Left: () => 'refused', Right: decision => decision.kind === 'plan' ? 'placed' : 'waits'});
			this.#parts.metrics.countScarceDecision(service, share.shareUsed > 1 ? 'over' : 'under', result);
		}
	}
}
