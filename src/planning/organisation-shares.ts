/**
 * How much of a service each organisation uses, and which organisations use more than their share. Pure.
 *
 * Usage is the servers' time that requests cost, so an organisation with few large prompts counts like one with many short ones. Times are
 * monotonic milliseconds, costs are milliseconds of one server.
 */
import type {OrganisationId} from '../common/index.js';
import type {EngineProfile} from '../routing/index.js';
import {computePrefillTime} from './engine-model.js';
import type {PlanRequest} from './plan.js';

/** Maximum number of organisations that are remembered and reported: the usage of further ones is too small to matter for the shares. */
export const maxOrganisations = 256;
export const maxReportedOrganisations = 64;

/** Usage below which an organisation is not reported: a tenth of a plain request. */
const minReportedUsage = 0.1;

/** Share by which an organisation may exceed the mean usage before it counts as above its share: prompts of unlike sizes vary that much. */
const tolerance = 0.1;

/** Share of the placed cost that servers are assumed to have room for while room is scarce: late answers are placed as well as those in time. */
const assumedCapacity = 0.85;

/** Multiple of the memory after which an organisation that asks for nothing is dropped: less than a hundredth of its usage is left. */
const maxMemories = 5;

/** How long a computed fair level is used, in milliseconds: it follows usage of some seconds. */
const levelLifetime = 20;

/** Decayed usage of an organisation, as nodes report it; `age` in milliseconds. */
export type ReportedUsage = {organisation: OrganisationId; used: number; asked: number; age: number};

/** Weights of organisations; those without one have 1. */
export type ShareWeights = ReadonlyMap<OrganisationId, number>;

/** Usage of one service by organisations. */
export abstract class OrganisationShares {
	/** Records the cost of a request when it arrives. */
	abstract recordDemand(organisation: OrganisationId, cost: number, now: number): void;
	/** Records the cost of a request when it is placed. */
	abstract recordUse(organisation: OrganisationId, cost: number, now: number): void;
	/** Usage of an organisation as a ratio of its share; above 1 it uses more. */
	abstract computeRatio(organisation: OrganisationId, now: number): number;
	/** The largest usages, for other nodes. */
	abstract describe(now: number): ReportedUsage[];
	/** Merges usages that another node knows; the higher one counts, so that a repeated report changes nothing. */
	abstract merge(usages: ReportedUsage[], now: number): void;
}

type Counter = {used: number; asked: number; at: number};

/**
 * Counters that decay with the memory, compared with the max-min fair level.
 *
 * The level is where the recent capacity, shared by water-filling, covers the demand: an organisation that asks for less than the level gets
 * all that it asks for, and the others get the level each.
 */
export class DecayingShares extends OrganisationShares {
	readonly #memory: number;
	readonly #weights: ShareWeights;
	readonly #counters = new Map<OrganisationId, Counter>();
	#level = {value: Infinity, until: -Infinity};

	/** Number of organisations that are remembered. */
	get size(): number {
		return this.#counters.size;
	}

	/** `memory` is the time constant of the decay, in milliseconds. */
	constructor(memory: number, weights: ShareWeights = new Map()) {
		super();
		this.#memory = memory;
		this.#weights = weights;
	}

	override recordDemand(organisation: OrganisationId, cost: number, now: number): void {
		this.#find(organisation, now).asked += cost;
	}

	override recordUse(organisation: OrganisationId, cost: number, now: number): void {
		this.#find(organisation, now).used += cost;
	}

	override computeRatio(organisation: OrganisationId, now: number): number {
		const level = this.#findLevel(now);
		const counter = this.#counters.get(organisation);
		return counter === undefined ? 0 : decay(counter, this.#memory, now).used / this.#findWeight(organisation) / level;
	}

	override describe(now: number): ReportedUsage[] {
		return [...this.#counters]
			.map(([organisation, counter]) => ({organisation, ...decay(counter, this.#memory, now)}))
			.filter(({used, asked}) => Math.max(used, asked) >= minReportedUsage)
			.sort((left, right) => right.used - left.used)
			.slice(0, maxReportedOrganisations)
			.map(({organisation, used, asked}) => ({
				organisation, used: Math.round(used * 100) / 100, asked: Math.round(asked * 100) / 100, age: 0,
			}));
	}

	override merge(usages: ReportedUsage[], now: number): void {
		for (const {organisation, used, asked, age} of usages.slice(0, maxReportedOrganisations)) {
			const reported = decay({used, asked, at: now - age}, this.#memory, now);
			const own = decay(this.#counters.get(organisation) ?? {used: 0, asked: 0, at: now}, this.#memory, now);
			this.#set(organisation, {used: Math.max(own.used, reported.used), asked: Math.max(own.asked, reported.asked), at: now});
		}
	}

	/** An organisation that was idle starts at the mean usage of the others, because idleness earns no credit. */
	#find(organisation: OrganisationId, now: number): Counter {
		const known = this.#counters.get(organisation);
		if (known !== undefined && now - known.at <= this.#memory) {
			if (now > known.at) {
				const factor = Math.exp((known.at - now) / this.#memory);
				known.used *= factor;
				known.asked *= factor;
				known.at = now;
			}

			return known;
		}

		const remembered = known === undefined ? 0 : decay(known, this.#memory, now).used;
		const used = Math.max(remembered, this.#computeMean(now) * this.#findWeight(organisation));
		const counter = {used, asked: used, at: now};
		this.#set(organisation, counter);
		return counter;
	}

	/** Mean usage per weight of the organisations seen within the memory; drops those that were not seen for several times as long. */
	#computeMean(now: number): number {
		let sum = 0;
		let weights = 0;
		for (const [organisation, counter] of this.#counters) {
			const idleFor = now - counter.at;
			if (idleFor > this.#memory * maxMemories) {
				this.#counters.delete(organisation);
			} else if (idleFor <= this.#memory) {
				sum += decay(counter, this.#memory, now).used;
				weights += this.#findWeight(organisation);
			}
		}

		return weights === 0 ? 0 : sum / weights;
	}

	#set(organisation: OrganisationId, counter: Counter): void {
		this.#counters.set(organisation, counter);
		if (this.#counters.size > maxOrganisations) {
			this.#dropLeast(counter.at);
		}
	}

	#dropLeast(now: number): void {
		const [least] = [...this.#counters].sort(([, left], [, right]) => decay(left, this.#memory, now).asked - decay(right, this.#memory, now).asked);
		this.#counters.delete(least[0]);
	}

	#findWeight(organisation: OrganisationId): number {
		return this.#weights.get(organisation) ?? 1;
	}

	#findLevel(now: number): number {
		if (now >= this.#level.until) {
			this.#level = {value: this.#computeLevel(now), until: now + levelLifetime};
		}

		return this.#level.value;
	}

	/** Usage per weight up to which organisations get all that they ask for: water-filling of the usage that room is assumed to suffice for. */
	#computeLevel(now: number): number {
		const demands: Array<{weight: number; asked: number}> = [];
		let used = 0;
		let weights = 0;
		for (const [organisation, counter] of this.#counters) {
			const current = decay(counter, this.#memory, now);
			const weight = this.#findWeight(organisation);
			used += current.used;
			weights += weight;
			demands.push({weight, asked: Math.max(current.asked, current.used)});
		}

		return weights === 0 ? Infinity : Math.max(used / weights * (1 + tolerance), fillLevel(demands, used * assumedCapacity));
	}
}

/** Level at which the demands, each cut at it, add up to the capacity. */
function fillLevel(demands: Array<{weight: number; asked: number}>, capacity: number): number {
	const ascending = demands.sort((left, right) => (left.asked / left.weight) - (right.asked / right.weight));
	let left = capacity;
	let weights = demands.reduce((sum, {weight}) => sum + weight, 0);
	for (const {weight, asked} of ascending) {
		if (asked / weight * weights >= left) {
			return left / weights;
		}

		left -= asked;
		weights -= weight;
	}

	return Infinity;
}

function decay({used, asked, at}: Counter, memory: number, now: number): Counter {
	const factor = Math.exp(Math.min(0, at - now) / memory);
	return {used: used * factor, asked: asked * factor, at: now};
}

/** Cost of a request: its prefill, and the part of a server's slots or memory that it holds while it decodes. 1 for plain services. */
export function computeCost({promptTokens, outputTokens}: Pick<PlanRequest, 'promptTokens' | 'outputTokens'>, engine: EngineProfile | undefined): number {
	if (engine === undefined || promptTokens === 0) {
		return 1;
	}

	const heldShare = Math.max(1 / engine.slots, (promptTokens + outputTokens) / engine.memoryTokens);
	return computePrefillTime(engine, promptTokens) + (heldShare * outputTokens * engine.stepTime);
}
