/**
 * Decides where the requests of one service run, and when long prompts are prefilled.
 *
 * Short and long requests share a pool. Short ones are packed on the servers at the end of a fixed order, as densely as pass times allow.
 * Long ones are prefilled by several servers together from the start of the order, one long prefill at a time on each server: chunked prefill
 * beside other requests would extend the pauses of every request that decodes there.
 *
 * Pure: time is passed in, and nothing blocks. A plan says when it is to be sent, and the requesting node sends it then. A planner that takes
 * over is initialised by `adopt`.
 */
import {Left, type Either} from 'purify-ts';
import {
	createFailure, type BackendServerId, type BoxId, type CrashTrait, type Failure, type IdSource, type PlanId,
} from '../common/index.js';
import type {BackendServer, EngineProfile} from '../routing/index.js';
import {ActivePlans, type ActivePlan} from './active-plans.js';
import {CallerWaits} from './caller-waits.js';
import type {ColdLimits, GrantedShares} from './cold-limits.js';
import {
	classifyTraits, CrashAttribution, createQuarantineFailure, IsolationTrials, listTraits, type CrashRecords, type QuarantineState,
} from './crashes/index.js';
import {FailureComparison} from './failure-comparison.js';
import {
	LimitedVisibility, fullVisibility, type FleetVisibility,
} from './fleet-visibility.js';
import {LimitGate, type GatedRequest} from './limit-gate.js';
import type {OrganisationShares} from './organisation-shares.js';
import type {
	BackoffReport, Decision, OverrunReport, Plan, PlanEvent, PlanRequest,
} from './plan.js';
import {PrefillScheduler} from './prefill-scheduler.js';
import {PromptClassifier} from './prompt-classifier.js';
import {RequestPlacement} from './request-placement.js';
import type {ServerLimits} from './server-limits.js';
import type {ServerLoad} from './server-load.js';
import {ServerPartition} from './server-partition.js';
import {describeServers, type PlannedServerStatus} from './server-status.js';
import {ShareGate, type ShareReport} from './share-gate.js';
import {listUsableServers} from './usable-servers.js';

/** Dependencies of a planner. */
export type PlannerParts = {
	ids: IdSource;
	/** Performance figures of the service's servers; undefined for plain services. */
	engine?: EngineProfile;
	/** How long the usage of organisations is remembered, in milliseconds; undefined when they have no shares. */
	sharesMemory?: number;
};

/** Plans for one service. */
export class Planner {
	readonly #plans = new ActivePlans();
	readonly #scheduler: PrefillScheduler;
	readonly #callerWaits = new CallerWaits();
	readonly #prompts = new PromptClassifier();
	readonly #partition = new ServerPartition();
	readonly #visibility = new LimitedVisibility();
	readonly #trials = new IsolationTrials();
	readonly #crashes = new CrashAttribution(this.#plans, this.#trials);
	readonly #gate: LimitGate;
	readonly #shareGate: ShareGate | undefined;
	readonly #failures = new FailureComparison();
	readonly #placement: RequestPlacement;

	constructor(parts: PlannerParts) {
		this.#prompts.engine = parts.engine;
		this.#shareGate = parts.sharesMemory === undefined ? undefined : new ShareGate(parts.sharesMemory);
		this.#scheduler = new PrefillScheduler(this.#shareGate);
		this.#gate = new LimitGate(this.#shareGate);
		this.#placement = new RequestPlacement({
			ids: parts.ids,
			plans: this.#plans,
			prompts: this.#prompts,
			partition: this.#partition,
			visibility: this.#visibility,
			trials: this.#trials,
			scheduler: this.#scheduler,
			gate: this.#gate,
			shareGate: this.#shareGate,
		});
	}

	/** Requests that were running on servers when they crashed. */
	get crashRecords(): CrashRecords {
		return this.#crashes.records;
	}

	/** Usage of organisations; undefined when they have no shares. */
	get shares(): OrganisationShares | undefined {
		return this.#shareGate?.shares;
	}

	/** Describes how shares apply to a request; undefined without shares. */
	describeShare(request: PlanRequest, now: number): ShareReport | undefined {
		return this.#shareGate?.describe(request, now);
	}

	/** Request limits that servers have declared. */
	get limits(): ServerLimits {
		return this.#gate.limits;
	}

	/** Limits of cold servers. */
	get coldLimits(): ColdLimits {
		return this.#gate.cold;
	}

	/** Plans in progress. */
	get planCount(): number {
		return this.#plans.size;
	}

	/** Whether all of these plans are in progress here. */
	hasPlans(planIds: PlanId[]): boolean {
		return planIds.every(planId => this.#plans.has(planId));
	}

	/** Short requests in progress. */
	get shortCount(): number {
		return this.#partition.shortCount;
	}

	/** Prompts that wait for prefill. */
	get waitingCount(): number {
		return this.#scheduler.waitingCount;
	}

	/** Status of the busiest servers, at most `limit` of them. */
	describeServers(now: number, limit: number): PlannedServerStatus[] {
		return describeServers(this.#plans.loads.values(), this.#gate, {now, limit});
	}

	/** Replaces the performance figures and the servers that accept new work. */
	setServers(servers: BackendServer[], engine: EngineProfile | undefined): void {
		this.#prompts.engine = engine;
		this.#plans.setServers(servers);
	}

	/**
	 * Decides for one request. A plan holds its place until `recordEvent` or `prune` releases it; a waiting request keeps its position by asking again.
	 *
	 * `limitShare` is the share of the servers' limits, from 0 to 1, that this node grants; declared limits and those of cold servers may differ in it.
	 */
	decide(original: PlanRequest, now: number, visibility: FleetVisibility = fullVisibility, limitShare: number | GrantedShares = 1): Either<Failure, Decision> {
		this.prune(now);
		const request = this.#callerWaits.adjustObjective(original);
		this.#prompts.recordPause(request);
		this.#visibility.update(visibility, now);
		const quarantine = this.#crashes.classify(request, now);
		if (quarantine.kind === 'rejected') {
			return Left(createQuarantineFailure(quarantine));
		}

		for (const {server, time} of request.resting ?? []) {
			this.#plans.loads.get(server)?.health.recordRest(time, now);
		}

		this.#shareGate?.recordArrival(request, this.#prompts.engine, now);
		this.#failures.update(this.#plans.loads, now);
		const usable = listUsableServers({
			request, quarantine, loads: this.#plans.loads.values(), isReserved: server => this.#trials.isReserved(server),
		}, now);
		if (usable.length === 0) {
			return Left(createFailure('no_backend_server', `no backend server of ${request.service} takes new work`));
		}

		const {declared: share, cold: coldShare} = typeof limitShare === 'number' ? {declared: limitShare, cold: () => limitShare} : limitShare;
		const gatedRequest = {
			request, usable, share, coldShare,
		};
		const available = this.#gate.listAvailable(gatedRequest, now);
		if (available.length === 0) {
			return this.#gate.queueOrReject(gatedRequest, now);
		}

		const isolatedTrait = quarantine.kind === 'isolated' && this.#plans.loads.size > 1 ? quarantine.trait : undefined;
		const candidates = isolatedTrait === undefined ? this.#chooseTrial(request, available, now) : available;
		const planned = this.#placement.place(gatedRequest, {available: candidates, isolatedTrait}, now);
		return planned.map(decision => {
			if (decision.kind === 'plan') {
				const plan = this.#failures.addAvoided(decision.plan, this.#plans.loads, now);
				this.#addPlan(plan, now, true);
				this.#recordSent(gatedRequest, plan, now);
				this.#shareGate?.recordPlaced(request, this.#prompts.engine, now);
				return {kind: 'plan', plan: quarantine.crashes === 0 ? plan : this.#crashes.addCrashes(plan, now)};
			}

			return decision;
		});
	}

	/** The quarantine state of requests with these traits. */
	classifyTraits(traits: CrashTrait[], now: number): QuarantineState {
		return classifyTraits(this.crashRecords, traits, now);
	}

	/** Adopts plans that another planner made; `startIn` counts from now. */
	adopt(plans: Plan[], now: number): void {
		for (const plan of plans) {
			if (!this.#plans.has(plan.planId)) {
				this.#addPlan(plan, now, false);
			}
		}
	}

	/** Records the progress of a plan; reports a server that is put into backoff, or a long prefill that exceeded its allowed overrun. */
	recordEvent(event: PlanEvent, now: number): BackoffReport | OverrunReport | undefined {
		if (event.kind === 'server_ended') {
			this.#crashes.recordCrash(event.server, listTraits(event), now);
			return undefined;
		}

		if (event.kind === 'survived') {
			this.#crashes.recordAnswer(listTraits(event), now);
			return undefined;
		}

		if (event.kind === 'failed') {
			return this.#recordFailure(event, now);
		}

		if (event.kind === 'started') {
			return this.#recordStart(event.planId, now);
		}

		const active = this.#release(event.planId);
		if (active !== undefined && event.isUnanswered === true) {
			this.#crashes.recordAbandoned(active.plan, now);
		}

		if (active !== undefined && event.wasAnswered === true) {
			this.#crashes.recordAnswer(listTraits(active.plan.request), now);
		}

		return undefined;
	}

	/** Servers that may have crashed with unanswered attempts. */
	listAbandonedServers(): BackendServerId[] {
		return this.#crashes.listAbandonedServers();
	}

	/** Counts a server's crash against the requests whose attempts there ended without an answer at most `age` milliseconds ago; returns the traits for which it is new. */
	attributeCrash(server: BackendServerId, now: number, age?: number): CrashTrait[] {
		return this.#crashes.attribute(server, now, age);
	}

	/** Drops the unanswered attempts at a server that leaves as planned. */
	dropAbandoned(server: BackendServerId, now: number): void {
		this.#crashes.dropAbandoned(server, now);
	}

	/** Releases the plans of a failed node, which can no longer report a crash. */
	releaseNode(node: BoxId, now: number): void {
		for (const plan of this.#plans.listByNode(node)) {
			this.#release(plan.planId);
			this.#crashes.recordAbandoned(plan, now);
		}
	}

	/** Releases the plans of a node that it does not run, because the decision or the end event was lost in transit; returns their number. */
	reconcile(node: BoxId, active: ReadonlySet<PlanId>, now: number): number {
		const unknown = this.#plans.listUnknown(node, active, now);
		for (const {planId} of unknown) {
			this.#release(planId);
		}

		return unknown.length;
	}

	/** Releases plans that have expired. */
	prune(now: number): void {
		this.#scheduler.prune(now);
		for (const {planId} of this.#plans.listExpired(now)) {
			this.#release(planId);
		}
	}

	#recordFailure({planId, server, trouble}: Extract<PlanEvent, {kind: 'failed'}>, now: number): BackoffReport | undefined {
		const load = this.#plans.loads.get(server);
		const plan = this.#plans.findPlan(planId);
		if (load === undefined) {
			return undefined;
		}

		if (trouble === 'spoiled') {
			this.#failures.recordFailure(load, plan, this.#plans.loads, now);
			return undefined;
		}

		// A server is silent during a planned long prefill; that is no failure.
		const isExplained = trouble === 'silent' && load.hasRecentLongPrefill(now);
		const isNew = !isExplained && load.health.recordFailure(trouble, now);
		return isNew
			? {
				server, trouble, node: plan?.request.node, backoff: load.health.computeBackoffLeft(now),
			}
			: undefined;
	}

	#recordStart(planId: PlanId, now: number): OverrunReport | undefined {
		const active = this.#plans.recordStart(planId, now);
		if (active === undefined) {
			return undefined;
		}

		this.#plans.loads.get(active.plan.server)?.health.recordSuccess(now);
		this.#failures.recordSuccess(active.plan, now);
		return this.#recordPrefill(active, now);
	}

	/** Skips plans of another planner: their planned start is unknown. */
	#recordPrefill({plan, since, isShort, isDecidedHere}: ActivePlan, now: number): OverrunReport | undefined {
		if (isShort || !isDecidedHere || plan.request.promptTokens === 0) {
			return undefined;
		}

		const predicted = plan.expectedFirst - plan.startIn;
		const took = now - since - plan.startIn;
		const overrun = this.#scheduler.recordPrefill(predicted, took);
		return overrun === undefined
			? undefined
			: {
				plan, predicted, took, allowedOverrun: overrun,
			};
	}

	/** The server that the request is to try, if there is one; otherwise those available. */
	#chooseTrial(request: PlanRequest, available: ServerLoad[], now: number): ServerLoad[] {
		const trial = this.#failures.findTrial(request, available, now);
		return trial === undefined || this.#prompts.isLong(request) ? available : [trial];
	}

	#recordSent(gated: GatedRequest, {server, helpers}: Plan, now: number): void {
		this.#gate.recordSent(gated, server, now);
		for (const helper of helpers) {
			this.#gate.cold.take(helper.server, now);
		}
	}

	#addPlan(plan: Plan, now: number, isDecidedHere: boolean): void {
		const engine = plan.request.promptTokens > 0 ? this.#prompts.engine : undefined;
		const isLong = this.#prompts.isLong(plan.request);
		const {isShort} = this.#plans.add(plan, {engine, isLong, isDecidedHere}, now);
		if (isShort) {
			this.#partition.addShort();
		}
	}

	#release(planId: PlanId): ActivePlan | undefined {
		const active = this.#plans.release(planId);
		if (active !== undefined) {
			this.#trials.release(planId);
		}

		if (active?.isShort) {
			this.#partition.removeShort();
		}

		return active;
	}
}
