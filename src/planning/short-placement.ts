/** Where a short request runs. Pure. */
import type {EngineProfile} from '../routing/index.js';
import {computeWorth, estimateCredit} from './credit.js';
import {computeReadTime} from './engine-model.js';
import {findLeast} from './find-least.js';
import type {PlanRequest} from './plan.js';
import {memoryShare} from './prompt-memory.js';
import type {ServerBoard} from './server-board.js';
import type {ServerGroups} from './server-shares.js';

/** Passes that a request waits for each one too many on a server: about a tenth of a short answer. */
const overfullPasses = 4;

/** Share of its worth that a short request loses by the time of a whole objective: of two servers in time the sooner one is taken. */
const delayCost = 0.2;

/** Share of its worth that a short request must bring on the servers for short ones, else it may take others. */
const goodShare = 0.6;

/** Share of its worth by which a server of another zone must be better: four milliseconds of a short objective, for bytes between zones have a price and its two ways take a millisecond each. With twenty milliseconds first events came 25 ms later in bursts. */
const zoneCost = 0.002;

/** A server that a short request may go to; `finish` is when its first event is due, in milliseconds, `cost` less what it brings, in tokens. */
export type ShortPlace = {board: ServerBoard; cost: number; finish: number};

/** The server where a short request brings most: an early first event, and no pause too long for those who write there. */
export function placeShort(request: PlanRequest, groups: ServerGroups, engine: EngineProfile, now: number): ShortPlace {
	const weigh = (board: ServerBoard) => weighPlace(board, request, engine, now);
	const best = findLeast(groups.forShort.map(board => weigh(board)), place => place.cost)!;
	if (best.cost < computeWorth(request.promptTokens) * -goodShare) {
		return best;
	}

	// Servers kept for long prompts are taken where those for short ones would be late.
	return findLeast([best, ...groups.forLong.map(board => weigh(board))], place => place.cost)!;
}

function weighPlace(board: ServerBoard, request: PlanRequest, engine: EngineProfile, now: number): ShortPlace {
	const readTime = computeReadTime(engine, request.promptTokens);
	const worth = computeWorth(request.promptTokens);
	const pass = board.computePass(engine, request.promptTokens);
	const pending = board.findPendingRead(now);
	const overfull = Math.max(0, board.writers + 1 - engine.slots);
	const lacksRoom = board.heldTokens + request.promptTokens + request.outputTokens > engine.memoryTokens * memoryShare;
	const finish = pending + (overfull * pass * overfullPasses) + (lacksRoom ? request.patience : 0) + pass + readTime;
	const harm = board.estimateHarm(engine, pending + readTime);
	const earned = estimateCredit(finish, request.objective, request.patience) * (1 - board.health.findSpoiled(now));
	const delay = delayCost * finish / Math.max(pass, request.objective);
	const isFar = request.availabilityZone !== undefined && request.availabilityZone !== board.server.availabilityZone;
	return {board, finish, cost: (worth * (delay - earned + (isFar ? zoneCost : 0))) + harm};
}
