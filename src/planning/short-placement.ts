/** Chooses the server for a short request. Pure. */
import type {EngineProfile} from '../routing/index.js';
import {computeValue, estimateValueShare} from './answer-value.js';
import {computePassTime, computePrefillTime} from './engine-model.js';
import {findMin} from './find-min.js';
import type {PlanRequest} from './plan.js';
import {usableMemoryShare} from './prompt-memory.js';
import type {ServerLoad} from './server-load.js';
import type {ServerGroups} from './server-partition.js';
import type {RoomForecast} from './share-gate.js';

/** Passes that a request waits for each request above a server's slots: about a tenth of a short answer. */
const passesPerExcessRequest = 4;

/** Share of its value that a short request loses when it takes the whole objective: of two servers in time the faster one is preferred. */
const delayPenalty = 0.2;

/** Share of its value that a short request must earn on the servers for short requests; otherwise it may use others. */
const acceptableShare = 0.6;

/** Share of its value by which a server of another zone must be better. It equals four milliseconds of a short objective: traffic between zones is charged, and its two transits take a millisecond each. A higher cost delays first events in bursts. */
const crossZoneCost = 0.002;

/** A server for a short request; `finish` is when its first event is expected, in milliseconds, `cost` less what it earns, in tokens. */
export type PlacementOption = {load: ServerLoad; cost: number; finish: number};

/** The server where a short request earns most: an early first event, and no excessive pause for requests that decode there. */
export function placeShort(request: PlanRequest, groups: ServerGroups, engine: EngineProfile, now: number): PlacementOption {
	const evaluate = (load: ServerLoad) => evaluatePlacement(load, request, engine, now);
	const best = findMin(groups.forShort.map(load => evaluate(load)), option => option.cost)!;
	if (best.cost < computeValue(request.promptTokens) * -acceptableShare) {
		return best;
	}

	// Servers for long prompts are used when those for short requests would be late.
	return findMin([best, ...groups.forLong.map(load => evaluate(load))], option => option.cost)!;
}

/** The room that a short request finds where it earns most, and on all servers. */
export function forecastRoom(request: PlanRequest, {forShort, forLong}: ServerGroups, best: PlacementOption, engine: EngineProfile): RoomForecast {
	return {
		finish: best.finish,
		idleFinish: computePassTime(engine, 1, request.promptTokens) + computePrefillTime(engine, request.promptTokens),
		servers: Math.max(forShort.length, forLong.length),
		countFreeSlots: () => [...new Set([...forShort, ...forLong])].reduce((sum, load) => sum + Math.max(0, engine.slots - load.writers), 0),
	};
}

function evaluatePlacement(load: ServerLoad, request: PlanRequest, engine: EngineProfile, now: number): PlacementOption {
	const prefillTime = computePrefillTime(engine, request.promptTokens);
	const value = computeValue(request.promptTokens);
	const passTime = load.computePassTime(engine, request.promptTokens);
	const pendingTime = load.computePendingPrefill(now);
	const excess = Math.max(0, load.writers + 1 - engine.slots);
	const isMemoryShort = load.heldTokens + request.promptTokens + request.outputTokens > engine.memoryTokens * usableMemoryShare;
	const finish = pendingTime + (excess * passTime * passesPerExcessRequest) + (isMemoryShort ? request.patience : 0) + passTime + prefillTime;
	const stallLoss = load.estimateStallLoss(engine, pendingTime + prefillTime);
	const expectedShare = estimateValueShare(finish, request.objective, request.patience) * (1 - load.health.computeFailureShare(now));
	const delayLoss = delayPenalty * finish / Math.max(passTime, request.objective);
	const isOtherZone = request.availabilityZone !== undefined && request.availabilityZone !== load.server.availabilityZone;
	return {load, finish, cost: (value * (delayLoss - expectedShare + (isOtherZone ? crossZoneCost : 0))) + stallLoss};
}
