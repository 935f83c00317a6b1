/**
 * Decides whose requests go first while a service has too little room for all: by priority, then organisations that use less than their share
 * before those that use more, then callers that come back at their time. Pure.
 *
 * Load pattern: one organisation sends four times the load of each of five others for some seconds, and there is room for seven tenths of it.
 *
 * Requests that go last are placed only where a server would begin with them at once. They wait for that while they can be in time, and are
 * rejected as soon as they cannot. Without scarcity the gate changes no decision. Times are monotonic milliseconds.
 */
import type {RequestId} from '../common/index.js';
import type {EngineProfile} from '../routing/index.js';
import {computeCost, DecayingShares, type OrganisationShares} from './organisation-shares.js';
import type {PlanRequest} from './plan.js';
import {ReturnSchedule} from './return-schedule.js';

/** Time for which a service counts as scarce after a request could not be in time, or had to wait here. */
const scarceTime = 1000;

/** Excess over its share at which an organisation's requests are held back in full; below it they are in part, because usage varies. */
const fullExcess = 0.15;

/** Share of a request's objective for which servers may be busy when a request that goes last is placed, and what is added without excess. */
const headroomShare = 0.1;
const mildHeadroomShare = 0.15;

/** Time after which a waiting request asks again, and after which one that does not ask has left. */
const retryDelay = 25;
const entryTimeout = 200;

/** Share of the objective beyond which a predicted first event counts as late: predictions in bursts err by that much. */
const lateShare = 0.8;

/** Share of all slots that requests which go last leave free, so that those which go first find one at once. */
const reservedSlotShare = 0.05;

/** Share of its caller's patience for which a request waits that is late already. */
const lateWaitShare = 0.25;

/** Time after which a kind of request of an organisation of which none was placed gets one place, however scarce room is. */
const maxHoldTime = 1500;
const maxHeldKinds = 1024;

/** Time over which the placed cost is measured, and the minimum share of it that is assumed for requests that go last. */
const rateWindow = 1000;
const minLastShare = 0.05;

/** Factors of a rank, by weight: priority, then one of three steps of excess over the share, then return at the time given. */
const priorityStep = 6;
const excessStep = 2;

/** The predicted first events, in milliseconds from now: where the request would be placed, and on an idle server; and all servers and their free slots. */
export type RoomForecast = {finish: number; idleFinish: number; servers: number; countFreeSlots: () => number};

/** Whether a request is placed now, waits, or is rejected with a retry delay in milliseconds. */
export type GateDecision = {kind: 'placed'} | {kind: 'wait'; askAgainIn: number} | {kind: 'rejected'; retryIn: number};

/** State of the gate for one request, for logs. `shareUsed` is its organisation's usage as a ratio of its share. */
export type ShareReport = {isScarce: boolean; shareUsed: number};

type Held = {rank: number; since: number; askedAt: number};

/** Order of the requests of one service while room is scarce. */
export class ShareGate {
	readonly shares: OrganisationShares;
	/** When rejected callers are to come back. */
	readonly returns = new ReturnSchedule();
	readonly #held = new Map<RequestId, Held>();
	/** Since when no request of a kind of an organisation was placed while one waited. */
	readonly #heldKinds = new Map<string, number>();
	/** Until when room is scarce for requests of a priority. */
	readonly #scarceUntil = new Map<number, number>();
	/** Cost placed while room was scarce, of all requests and of those that went last; both decay with the rate window. */
	#placed = {all: 0, last: 0, at: 0};

	/** `memory` is the time for which usage is remembered, in milliseconds. */
	constructor(memory: number, shares: OrganisationShares = new DecayingShares(memory)) {
		this.shares = shares;
	}

	/** Records a request that asks for the first time; a repeat of a rejected one is no new demand. */
	recordArrival(request: PlanRequest, engine: EngineProfile | undefined, now: number): void {
		if (request.organisation !== undefined && request.waited === 0 && request.excluded.length === 0 && !this.isRepeat(request, now)) {
			this.shares.recordDemand(request.organisation, computeCost(request, engine), now);
		}
	}

	/** Records a request that is placed. */
	recordPlaced(request: PlanRequest, engine: EngineProfile | undefined, now: number): void {
		const cost = computeCost(request, engine);
		if (this.isScarce(now)) {
			this.#decayPlaced(now);
			this.#placed.all += cost;
			this.#placed.last += this.#goesLast(request, now) ? cost : 0;
		}

		this.#held.delete(request.requestId);
		if (this.#heldKinds.size > 0) {
			this.#heldKinds.delete(describeKind(request));
		}

		this.returns.release(request.fingerprint);
		if (request.organisation !== undefined) {
			this.shares.recordUse(request.organisation, cost, now);
		}
	}

	/** Whether its caller was rejected before. */
	isRepeat({fingerprint}: PlanRequest, now: number): boolean {
		return this.returns.isRepeat(fingerprint, now);
	}

	/** Whether any request could not be in time, or had to wait here, within the last second. */
	isScarce(now: number): boolean {
		for (const until of this.#scarceUntil.values()) {
			if (until > now) {
				return true;
			}
		}

		return false;
	}

	/** Position in the order of requests; lower goes first. A kind of which none was placed for too long goes before all others. */
	computeRank(request: PlanRequest, now: number): number {
		const returnRank = this.returns.isDue(request.fingerprint, now) ? 0 : 1;
		if (this.#isStarved(request, now)) {
			return returnRank;
		}

		const excess = this.#computeExcess(request, now);
		const excessRank = excess === 0 ? 0 : (excess < 1 ? 1 : 2);
		return ((request.priority ?? 0) * priorityStep) + (excessRank * excessStep) + returnRank;
	}

	/** Describes the gate's state for a request. */
	describe(request: PlanRequest, now: number): ShareReport {
		return {isScarce: this.isScarce(now), shareUsed: this.#computeRatio(request, now)};
	}

	/** Decides whether a short prompt may be placed where it would begin first. */
	decide(request: PlanRequest, room: RoomForecast, engine: EngineProfile, now: number): GateDecision {
		const {requestId, objective, patience} = request;
		const isLate = room.finish > objective * lateShare && room.idleFinish <= objective;
		if (isLate) {
			this.markScarce(request, now);
		}

		if (request.hasBegun === true || !this.isScarce(now) || !this.#goesLast(request, now)) {
			return room.finish > patience ? this.#reject(request, room, engine, now) : {kind: 'placed'};
		}

		const held = {rank: this.computeRank(request, now), since: this.#held.get(requestId)?.since ?? now, askedAt: now};
		const aheadCount = this.#countAhead(requestId, held, now);
		if (this.#hasRoom(request, room, {engine, aheadCount}, now) || this.#isStarved(request, now)) {
			return {kind: 'placed'};
		}

		this.recordHeld(request, now);
		this.markScarce(request, now);
		const longestWait = room.idleFinish <= objective ? objective - room.idleFinish : patience * lateWaitShare;
		if (longestWait < retryDelay || aheadCount * this.#computeInterval(request, {servers: room.servers, engine}, now) > longestWait) {
			return this.#reject(request, room, engine, now);
		}

		this.#held.set(requestId, held);
		return {kind: 'wait', askAgainIn: Math.min(retryDelay, longestWait)};
	}

	/** Notes that a request has to wait because others go first. */
	recordHeld(request: PlanRequest, now: number): void {
		const kind = describeKind(request);
		const since = this.#heldKinds.get(kind);
		if (since !== undefined && now - since <= 2 * maxHoldTime) {
			return;
		}

		this.#heldKinds.delete(kind);
		this.#heldKinds.set(kind, now);
		if (this.#heldKinds.size > maxHeldKinds) {
			const [oldest] = this.#heldKinds.keys();
			this.#heldKinds.delete(oldest);
		}
	}

	/** Notes that a request cannot be in time or has to wait. */
	markScarce({priority = 0}: PlanRequest, now: number): void {
		this.#scarceUntil.set(priority, now + scarceTime);
	}

	/** Retry delay of a rejected request, in milliseconds: a place in the order in which capacity becomes free. */
	scheduleReturn(request: PlanRequest, delay: number, fleet: {servers: number; engine: EngineProfile | undefined}, now: number): number {
		this.#held.delete(request.requestId);
		return this.returns.assign(request.fingerprint, {delay, interval: this.#computeInterval(request, fleet, now)}, now);
	}

	/** Whether a server would begin with a request that goes last at once, and others still find room after it. */
	#hasRoom(request: PlanRequest, room: RoomForecast, {engine, aheadCount}: {engine: EngineProfile; aheadCount: number}, now: number): boolean {
		const excess = this.#isLessUrgent(request, now) ? 1 : this.#computeExcess(request, now);
		const headroom = (headroomShare + (mildHeadroomShare * (1 - excess))) * (request.objective + request.waited);
		const reservedSlots = reservedSlotShare * excess * room.servers * engine.slots;
		return room.finish <= room.idleFinish + headroom && aheadCount < room.countFreeSlots() - reservedSlots;
	}

	#reject(request: PlanRequest, room: RoomForecast, engine: EngineProfile, now: number): GateDecision {
		const delay = Math.max(0, room.finish - Math.max(room.idleFinish, request.objective));
		return {kind: 'rejected', retryIn: this.scheduleReturn(request, delay, {servers: room.servers, engine}, now)};
	}

	/** A request of an organisation above its share, or less urgent than another that could not be in time. */
	#goesLast(request: PlanRequest, now: number): boolean {
		return this.#isLessUrgent(request, now) || this.#computeExcess(request, now) > 0;
	}

	#isLessUrgent({priority = 0}: PlanRequest, now: number): boolean {
		return [...this.#scarceUntil].some(([other, until]) => other < priority && until > now);
	}

	/** Excess of its organisation over the share, from 0 to 1. */
	#computeExcess(request: PlanRequest, now: number): number {
		return Math.min(1, Math.max(0, (this.#computeRatio(request, now) - 1) / fullExcess));
	}

	#computeRatio({organisation}: PlanRequest, now: number): number {
		return organisation === undefined ? 0 : this.shares.computeRatio(organisation, now);
	}

	#countAhead(requestId: RequestId, {rank, since}: Held, now: number): number {
		let aheadCount = 0;
		for (const [other, held] of this.#held) {
			if (now - held.askedAt > entryTimeout) {
				this.#held.delete(other);
			} else if (other !== requestId && (held.rank < rank || (held.rank === rank && held.since < since))) {
				aheadCount++;
			}
		}

		return aheadCount;
	}

	/** Whether requests of its kind have waited for the maximum time while none of them was placed. */
	#isStarved(request: PlanRequest, now: number): boolean {
		const since = this.#heldKinds.get(describeKind(request));
		return since !== undefined && now - since > maxHoldTime && now - since <= 2 * maxHoldTime;
	}

	/** Time that the servers need for one such request, in milliseconds, from the part of their time that such requests get. */
	#computeInterval(request: PlanRequest, {servers, engine}: {servers: number; engine: EngineProfile | undefined}, now: number): number {
		this.#decayPlaced(now);
		const lastShare = this.#placed.all === 0 ? 1 : Math.max(minLastShare, this.#placed.last / this.#placed.all);
		return computeCost(request, engine) / Math.max(1, servers) / lastShare;
	}

	#decayPlaced(now: number): void {
		const factor = Math.exp(Math.min(0, this.#placed.at - now) / rateWindow);
		this.#placed = {all: this.#placed.all * factor, last: this.#placed.last * factor, at: now};
	}
}

/** Requests of one organisation and priority whose prompts differ by less than a factor of about four. */
function describeKind({organisation, priority = 0, promptTokens}: Pick<PlanRequest, 'organisation' | 'priority' | 'promptTokens'>): string {
	return `${Math.round(Math.log2(promptTokens + 1) / 2)} ${priority} ${organisation ?? ''}`;
}
