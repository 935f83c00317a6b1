/**
 * Evaluates the options for the prefill of a prompt: how many servers, which ones and when. Pure.
 *
 * The net value of an option is its expected value, less the loss to decoding requests that are paused too long, and less the price of the
 * servers' time: what recent demand or the waiting requests would earn in it.
 */
import type {EngineProfile} from '../routing/index.js';
import {computeValue, estimateValueShare, findLossShare} from './answer-value.js';
import {computePassTime, computePrefillTime} from './engine-model.js';
import {findMin} from './find-min.js';
import type {PlannedPause, PlanRequest} from './plan.js';
import {maxPrefillServers, type PrefillDemand} from './prefill-demand.js';
import type {ServerLoad} from './server-load.js';
import {estimateConfidence, estimateOverflowLoss, type ShortForecast} from './short-demand.js';

/** Part of the accepted pause that a prefill leaves unused, in milliseconds: for a short prefill beside it and the transit of an event. */
export const pauseMargin = 40;

/** Share of its value that an answer loses when it takes the whole objective: an earlier answer leaves room for faults. */
const delayPenalty = 0.15;

/** Price of a server's time, as a share of what recent demand earns in it: without a price, late large prompts take servers that others need. */
const demandPriceShare = 0.6;

/** Price as a share of what waiting requests lose meanwhile, so that prompts are split less while others wait. */
const waitingPriceShare = 0.5;

/** Numbers of servers that are evaluated, in steps of about a third. Using only one server for each prefill earns much less. */
const serverCounts = [1, 2, 3, 4, 6, 8, 12, maxPrefillServers];

/** A server and when it may start a prefill, in milliseconds from now. */
export type AvailableServer = {load: ServerLoad; freeIn: number};

/** An option to prefill a prompt; times in milliseconds from now, values in tokens. */
export type PrefillOption = {
	servers: ServerLoad[];
	wait: number;
	prefillTime: number;
	/** When the first event is expected. */
	finish: number;
	/** Loss to requests that decode at the servers. */
	stallLoss: number;
	/** The pause that comes closest to what a stream there tolerates; undefined when no stream decodes there. */
	pause?: PlannedPause;
	/** Net value. */
	value: number;
};

/** Inputs of the evaluation. */
export type PrefillContext = {
	request: PlanRequest;
	engine: EngineProfile;
	demand: PrefillDemand;
	/** Value that other waiting requests lose per millisecond. */
	waitingLoss: number;
	/** Share by which a prefill may be longer than predicted. */
	overrun: number;
	/** Short requests that are expected while the prefill runs; undefined without any. */
	shortForecast?: ShortForecast;
	now: number;
};

type Candidate = AvailableServer & {stallLoss: number};

/** The option with the highest net value; undefined when none is positive. */
export function findBestOption(available: AvailableServer[], context: PrefillContext): PrefillOption | undefined {
	const byTime = [...available].sort((left, right) => left.freeIn - right.freeIn);
	const utilisation = Math.max(context.demand.countBusyServers(context.now) / available.length, computeOccupancy(available, context.engine));
	const demandPrice = demandPriceShare * context.demand.computeValueRate(context.now) * Math.min(1, utilisation);
	const timePrice = Math.max(demandPrice, waitingPriceShare * context.waitingLoss) / available.length;
	let best: PrefillOption | undefined;
	for (const count of serverCounts) {
		if (count > byTime.length) {
			break;
		}

		for (const chosen of listCandidateSets(byTime, count, context)) {
			const option = evaluateOption(chosen, byTime, context, timePrice);
			if (option.value > (best?.value ?? 0)) {
				best = option;
			}
		}
	}

	return best;
}

/** Share of the servers' slots in use. */
function computeOccupancy(available: AvailableServer[], engine: EngineProfile): number {
	const writers = available.reduce((sum, {load}) => sum + load.writers, 0);
	return writers / (engine.slots * available.length);
}

/** The earliest set of `count` servers, and the earliest set without any loss. Servers whose streams would be moved during the pause are excluded. */
function listCandidateSets(byTime: AvailableServer[], count: number, {engine, request, overrun}: PrefillContext): Candidate[][] {
	const sharedTime = computePrefillTime(engine, request.promptTokens, count);
	const pause = sharedTime + pauseMargin;
	const eligible = byTime.filter(({load}) => load.canAbsorbPrefill(engine, pause, overrun));
	if (eligible.length < count) {
		return [];
	}

	const candidates = eligible.map(({load, freeIn}) => ({load, freeIn, stallLoss: load.estimateStallLoss(engine, pause)}));
	const unaffected = candidates.filter(candidate => candidate.stallLoss === 0).slice(0, count);
	const latest = candidates[count - 1].freeIn;
	// Of the servers that are free by then, those with the lowest loss.
	const earliest = candidates.filter(candidate => candidate.freeIn <= latest).sort((left, right) => left.stallLoss - right.stallLoss).slice(0, count);
	return unaffected.length === count ? [earliest, unaffected] : [earliest];
}

function evaluateOption(chosen: Candidate[], all: AvailableServer[], context: PrefillContext, timePrice: number): PrefillOption {
	const {request, engine} = context;
	const sharedTime = computePrefillTime(engine, request.promptTokens, chosen.length);
	const wait = Math.max(...chosen.map(candidate => candidate.freeIn));
	const prefillTime = sharedTime + Math.max(...chosen.map(candidate => candidate.load.computePassTime(engine, 0)));
	const finish = wait + prefillTime + computePassTime(engine, 1, request.promptTokens / chosen.length);
	const stallLoss = chosen.reduce((sum, candidate) => sum + candidate.stallLoss, 0);
	const valueShare = estimateValueShare(finish, request.objective, request.patience);
	const lossShare = valueShare > 0 ? findLossShare(request) : 0;
	const fullObjective = Math.max(1, request.objective + request.waited);
	const delayLoss = delayPenalty * valueShare * Math.min(1, finish / fullObjective);
	const costs = stallLoss + computeOverflowCost(chosen, all, prefillTime, context) + (chosen.length * prefillTime * timePrice);
	return {
		servers: chosen.map(candidate => candidate.load), wait, prefillTime, finish, stallLoss, pause: findWorstPause(chosen, engine, sharedTime),
		value: (computeValue(request.promptTokens) * (valueShare - delayLoss + lossShare)) - costs,
	};
}

/** What short requests that arrive during the prefill lose because its servers stall. */
function computeOverflowCost(chosen: Candidate[], all: AvailableServer[], prefillTime: number, {engine, shortForecast}: PrefillContext): number {
	if (shortForecast === undefined || prefillTime <= shortForecast.objective) {
		return 0;
	}

	const stalled = new Set(chosen.map(({load}) => load));
	const free = all.filter(({freeIn}) => freeIn <= shortForecast.objective).map(({load}) => load);
	const remaining = free.filter(load => !stalled.has(load));
	const added = estimateOverflowLoss(shortForecast, remaining, engine, prefillTime) - estimateOverflowLoss(shortForecast, free, engine, prefillTime);
	return added * estimateConfidence(shortForecast, all.reduce((sum, {load}) => sum + load.writers, 0));
}

function findWorstPause(chosen: Candidate[], engine: EngineProfile, sharedTime: number): PlannedPause | undefined {
	const pauses = chosen.map(({load}) => load.computePause(engine, sharedTime)).filter(pause => pause !== undefined);
	return findMin(pauses, ({length, bearable}) => bearable / length);
}
