/**
 * The ways to read a prompt, and the best of them: how many servers, which ones and when. Pure.
 *
 * A way is worth what it is expected to earn, less what those who write there lose by a
 * pause too long and the servers' time, at what the demand seen or those who wait would
 * bring in it.
 */
import type {EngineProfile} from '../routing/index.js';
import {computeValue, estimateValueShare, findLossShare} from './answer-value.js';
import {computePassTime, computePrefillTime} from './engine-model.js';
import {findMin} from './find-min.js';
import type {PlannedPause, PlanRequest} from './plan.js';
import {maxPrefillServers, type PrefillDemand} from './prefill-demand.js';
import type {ServerLoad} from './server-load.js';

/** What a read leaves of the pause that callers accept, in milliseconds: a short read beside it and the way of an event. */
export const pauseMargin = 40;

/** Share of its worth that an answer loses by the time of a whole objective: sooner leaves room for what goes wrong. Between 0.05 and 0.3 replays bring the same. */
const delayCost = 0.15;

/** Price of a server's time, as a share of what the demand seen brings in it: without it late giants take the servers of others, and 80 replayed days bring 0.817 of the worth for 0.823. */
const demandShare = 0.6;

/** The same as a share of what those who wait lose meanwhile, so that reads are split less while others wait: without it 0.834 for 0.840. */
const pressureShare = 0.5;

/** Numbers of servers that are tried, each by about a third more than the one before. With one server for each read 80 replayed days bring 0.62 of the worth for 0.82. */
const readerCounts = [1, 2, 3, 4, 6, 8, 12, maxPrefillServers];

/** A server and when it may begin to read, in milliseconds from now. */
export type AvailableServer = {load: ServerLoad; freeIn: number};

/** A way to read a prompt; times in milliseconds from now, worth in tokens. */
export type PrefillOption = {
	servers: ServerLoad[];
	wait: number;
	prefillTime: number;
	/** When the first event is due. */
	finish: number;
	/** What those who write at the readers lose. */
	harm: number;
	/** The silence there that comes nearest to what is borne; undefined when nobody writes there. */
	pause?: PlannedPause;
	/** What it brings, all in all. */
	value: number;
};

/** What ways are judged by. */
export type WayParts = {
	request: PlanRequest;
	engine: EngineProfile;
	demand: PrefillDemand;
	/** Worth that others who wait lose with each millisecond. */
	waitingLoss: number;
	/** Share by which a read may be longer than predicted. */
	overrun: number;
	now: number;
};

type Candidate = AvailableServer & {harm: number};

/** The way that brings most; undefined when none brings anything. */
export function findBestOption(openings: AvailableServer[], parts: WayParts): PrefillOption | undefined {
	const byTime = [...openings].sort((left, right) => left.freeIn - right.freeIn);
	const utilisation = Math.max(parts.demand.countBusyServers(parts.now) / openings.length, computeOccupancy(openings, parts.engine));
	const seen = demandShare * parts.demand.computeValueRate(parts.now) * Math.min(1, utilisation);
	const timePrice = Math.max(seen, pressureShare * parts.waitingLoss) / openings.length;
	let best: PrefillOption | undefined;
	for (const count of readerCounts) {
		if (count > byTime.length) {
			break;
		}

		for (const chosen of listChoices(byTime, count, parts)) {
			const way = describeWay(chosen, parts, timePrice);
			if (way.value > (best?.value ?? 0)) {
				best = way;
			}
		}
	}

	return best;
}

/** Share of the servers' places that are taken. */
function computeOccupancy(openings: AvailableServer[], engine: EngineProfile): number {
	const writers = openings.reduce((sum, {load: board}) => sum + board.writers, 0);
	return writers / (engine.slots * openings.length);
}

/** The earliest choice of so many servers, and the earliest that hurts nobody. Servers whose writers would be moved for their silence are none. */
function listChoices(byTime: AvailableServer[], count: number, {engine, request, overrun}: WayParts): Candidate[][] {
	const part = computePrefillTime(engine, request.promptTokens, count);
	const pause = part + pauseMargin;
	const bearing = byTime.filter(({load: board}) => board.canAbsorbPrefill(engine, pause, overrun));
	if (bearing.length < count) {
		return [];
	}

	const candidates = bearing.map(({load: load, freeIn}) => ({load: load, freeIn, harm: load.estimateStallLoss(engine, pause)}));
	const harmless = candidates.filter(candidate => candidate.harm === 0).slice(0, count);
	const latest = candidates[count - 1].freeIn;
	// Of the servers that are free by then, those where least is lost.
	const earliest = candidates.filter(candidate => candidate.freeIn <= latest).sort((left, right) => left.harm - right.harm).slice(0, count);
	return harmless.length === count ? [earliest, harmless] : [earliest];
}

function describeWay(chosen: Candidate[], {request, engine}: WayParts, timePrice: number): PrefillOption {
	const part = computePrefillTime(engine, request.promptTokens, chosen.length);
	const wait = Math.max(...chosen.map(candidate => candidate.freeIn));
	const readTime = part + Math.max(...chosen.map(candidate => candidate.load.computePassTime(engine, 0)));
	const finish = wait + readTime + computePassTime(engine, 1, request.promptTokens / chosen.length);
	const harm = chosen.reduce((sum, candidate) => sum + candidate.harm, 0);
	const credit = estimateValueShare(finish, request.objective, request.patience);
	const stake = credit > 0 ? findLossShare(request) : 0;
	const wholeObjective = Math.max(1, request.objective + request.waited);
	const delay = delayCost * credit * Math.min(1, finish / wholeObjective);
	const costs = harm + (chosen.length * readTime * timePrice);
	return {
		servers: chosen.map(candidate => candidate.load), wait, prefillTime: readTime, finish, harm, pause: findWorstPause(chosen, engine, part),
		value: (computeValue(request.promptTokens) * (credit - delay + stake)) - costs,
	};
}

function findWorstPause(chosen: Candidate[], engine: EngineProfile, part: number): PlannedPause | undefined {
	const pauses = chosen.map(({load: board}) => board.computePause(engine, part)).filter(pause => pause !== undefined);
	return findMin(pauses, ({length, bearable}) => bearable / length);
}
