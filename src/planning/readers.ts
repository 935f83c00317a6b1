/** Which servers read a long prompt together, and how its memory is divided among them. Pure. */
import type {EngineFigures} from '../routing/index.js';
import {computePassTime, computeReadTime} from './engine-model.js';
import {findLeast} from './find-least.js';
import type {PlannedHelper, PlanRequest} from './plan.js';
import type {ServerBoard} from './server-board.js';

/** Most servers that may help to read one prompt. */
const mostHelpers = 15;

/** Share of a server's memory that is planned with: answers grow, and blocks are not filled. */
export const memoryShare = 0.92;

/**
 * Shares of the time left to a request's objective, tried in turn: the fewest servers that
 * read a prompt within one are taken. Each server pays a pass beside its part, so small
 * parts waste what others wait for.
 */
const readTargets = [0.25, 0.8];

/** Share of the time left in which a prompt is read that can no longer meet its objective: by few servers, so that others still can. */
const lateTarget = 0.5;

/** When no target is met, fewer servers are preferred as long as they end at most this much later than the fastest choice. */
const fewerServersSlack = 1.05;

/**
 * A read may stretch the pauses of writers past what their callers accept when it thereby meets its own objective
 * and its prompt is at least this many times as long as all of theirs: what answers are worth grows with their prompts.
 */
const holdUpRatio = 1.5;

/** What a read leaves of the pause that callers accept, in milliseconds: a short read beside it and the way of an event. */
const pauseMargin = 40;

/** Readers of a prompt, when they begin and when the first event is due; times from now. */
export type ReaderChoice = {readers: ServerBoard[]; wait: number; readTime: number; finish: number};

/** A server that may read, and what its writers bear. */
type ReaderCandidate = {board: ServerBoard; wait: number; limit: number; writerTokens: number};

/**
 * Chooses how many servers read together: the fewest that end about as soon as the fastest choice.
 *
 * Servers whose writers bear the pause come first; others only where that is worth it.
 * Undefined when there are none.
 */
export function chooseReaders(group: ServerBoard[], request: PlanRequest, engine: EngineFigures, now: number): ReaderChoice | undefined {
	const candidates = group
		.map(board => ({
			board, wait: board.findLongReadEnd(now) - now, limit: board.findReadLimit(engine) - pauseMargin, writerTokens: board.writerTokens,
		}))
		.sort((left, right) => left.wait - right.wait);
	const choices: ReaderChoice[] = [];
	for (let count = 1; count <= Math.min(candidates.length, mostHelpers + 1); count++) {
		const part = computeReadTime(engine, request.promptTokens, count);
		const bearing = candidates.filter(candidate => candidate.limit >= part);
		if (bearing.length >= count) {
			choices.push(describeChoice(bearing.slice(0, count), request, engine, now));
			continue;
		}

		const choice = holdUpWriters(candidates, bearing, {
			request, engine, now, count,
		});
		if (choice !== undefined) {
			choices.push(choice);
		}
	}

	return pickReaders(choices, request, computeReadTime(engine, request.promptTokens, Math.min(group.length, mostHelpers + 1)));
}

/** Adds the servers whose writers are worth least; undefined when that costs more than it brings. */
function holdUpWriters(
	candidates: ReaderCandidate[],
	bearing: ReaderCandidate[],
	{request, engine, now, count}: {request: PlanRequest; engine: EngineFigures; now: number; count: number},
): ReaderChoice | undefined {
	const others = candidates
		.filter(candidate => !bearing.includes(candidate))
		.sort((left, right) => left.writerTokens - right.writerTokens)
		.slice(0, count - bearing.length);
	const heldUp = others.reduce((sum, candidate) => sum + candidate.writerTokens, 0);
	if (heldUp * holdUpRatio > request.promptTokens) {
		return undefined;
	}

	const choice = describeChoice([...bearing, ...others], request, engine, now);
	return choice.finish <= readTargets.at(-1)! * request.objective ? choice : undefined;
}

function describeChoice(candidates: ReaderCandidate[], request: PlanRequest, engine: EngineFigures, now: number): ReaderChoice {
	const readers = candidates.map(candidate => candidate.board);
	const part = computeReadTime(engine, request.promptTokens, readers.length);
	const wait = Math.max(...readers.map(board => board.findLongReadEnd(now) - now));
	const readTime = Math.max(...readers.map(board => part + board.computePass(engine, 0)));
	const pass = computePassTime(engine, 1, request.promptTokens / readers.length);
	return {
		readers, wait, readTime, finish: wait + readTime + pass,
	};
}

/**
 * The fewest servers that meet a target, else about the fastest choice.
 *
 * None while the objective is missed only for want of servers that will be free soon:
 * `bestRead` is the time that all of them together would take.
 */
function pickReaders(choices: ReaderChoice[], request: PlanRequest, bestRead: number): ReaderChoice | undefined {
	const fastest = Math.min(...choices.map(choice => choice.finish));
	const inTime = readTargets.at(-1)! * request.objective;
	if (fastest > inTime && bestRead <= inTime) {
		return undefined;
	}

	const targets = [...readTargets.map(share => share * request.objective), lateTarget * request.patience, fastest * fewerServersSlack];
	const target = targets.find(limit => limit >= fastest);
	return choices.find(choice => choice.finish <= target!);
}

/** Which server takes the request, and who holds how much of its prompt; undefined when there is no room. */
export function divideMemory(readers: ServerBoard[], request: PlanRequest, engine: EngineFigures): {first: ServerBoard; helpers: PlannedHelper[]; ownTokens: number} | undefined {
	const need = request.promptTokens + request.outputTokens;
	const findFree = (board: ServerBoard) => Math.max(0, (engine.memoryTokens * memoryShare) - board.heldTokens);
	const byRoom = [...readers].sort((left, right) => findFree(right) - findFree(left));
	// Servers that write already go on writing, so that the others stay free for reads of any length.
	const first = findLeast(byRoom.filter(board => findFree(board) >= need), board => -board.writers) ?? byRoom[0];
	const others = byRoom.filter(board => board !== first);
	let missing = Math.max(0, need - findFree(first));
	const ownTokens = need - missing;
	const helpers = others.map(board => {
		const heldTokens = Math.ceil(Math.min(missing, findFree(board)));
		missing -= Math.min(missing, heldTokens);
		return {server: board.server.id, heldTokens};
	});
	return missing > 0 ? undefined : {first, helpers, ownTokens};
}
