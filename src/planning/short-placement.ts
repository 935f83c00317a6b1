/** Where a short request runs. Pure. */
import type {EngineProfile} from '../routing/index.js';
import {computeValue, estimateValueShare} from './answer-value.js';
import {computePrefillTime} from './engine-model.js';
import {findMin} from './find-min.js';
import type {PlanRequest} from './plan.js';
import {usableMemoryShare} from './prompt-memory.js';
import type {ServerLoad} from './server-load.js';
import type {ServerGroups} from './server-partition.js';

/** Passes that a request waits for each one too many on a server: about a tenth of a short answer. */
const overfullPasses = 4;

/** Share of its worth that a short request loses by the time of a whole objective: of two servers in time the sooner one is taken. */
const delayCost = 0.2;

/** Share of its worth that a short request must bring on the servers for short ones, else it may take others. */
const goodShare = 0.6;

/** Share of its worth by which a server of another zone must be better: four milliseconds of a short objective, for bytes between zones have a price and its two ways take a millisecond each. With twenty milliseconds first events came 25 ms later in bursts. */
const zoneCost = 0.002;

/** A server that a short request may go to; `finish` is when its first event is due, in milliseconds, `cost` less what it brings, in tokens. */
export type ShortPlace = {load: ServerLoad; cost: number; finish: number};

/** The server where a short request brings most: an early first event, and no pause too long for those who write there. */
export function placeShort(request: PlanRequest, groups: ServerGroups, engine: EngineProfile, now: number): ShortPlace {
	const weigh = (board: ServerLoad) => weighPlace(board, request, engine, now);
	const best = findMin(groups.forShort.map(board => weigh(board)), place => place.cost)!;
	if (best.cost < computeValue(request.promptTokens) * -goodShare) {
		return best;
	}

	// Servers kept for long prompts are taken where those for short ones would be late.
	return findMin([best, ...groups.forLong.map(board => weigh(board))], place => place.cost)!;
}

function weighPlace(board: ServerLoad, request: PlanRequest, engine: EngineProfile, now: number): ShortPlace {
	const readTime = computePrefillTime(engine, request.promptTokens);
	const worth = computeValue(request.promptTokens);
	const pass = board.computePassTime(engine, request.promptTokens);
	const pending = board.computePendingPrefill(now);
	const overfull = Math.max(0, board.writers + 1 - engine.slots);
	const lacksRoom = board.heldTokens + request.promptTokens + request.outputTokens > engine.memoryTokens * usableMemoryShare;
	const finish = pending + (overfull * pass * overfullPasses) + (lacksRoom ? request.patience : 0) + pass + readTime;
	const harm = board.estimateStallLoss(engine, pending + readTime);
	const earned = estimateValueShare(finish, request.objective, request.patience) * (1 - board.health.computeFailureShare(now));
	const delay = delayCost * finish / Math.max(pass, request.objective);
	const isFar = request.availabilityZone !== undefined && request.availabilityZone !== board.server.availabilityZone;
	return {load: board, finish, cost: (worth * (delay - earned + (isFar ? zoneCost : 0))) + harm};
}
