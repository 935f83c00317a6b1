/** Divides the memory of a prompt among the servers that prefill it. Pure. */
import type {EngineProfile} from '../routing/index.js';
import {findMin} from './find-min.js';
import type {PlannedHelper, PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';

/** Usable share of a server's memory: answers grow, and blocks are not filled completely. */
export const usableMemoryShare = 0.92;

/** The server that runs the request, and the tokens held by each server; undefined when memory is insufficient. */
export function divideMemory(servers: ServerLoad[], request: PlanRequest, engine: EngineProfile): {first: ServerLoad; helpers: PlannedHelper[]; ownTokens: number} | undefined {
	const needed = request.promptTokens + request.outputTokens;
	const computeFree = (load: ServerLoad) => Math.max(0, (engine.memoryTokens * usableMemoryShare) - load.heldTokens);
	const byFreeMemory = [...servers].sort((left, right) => computeFree(right) - computeFree(left));
	// Prefers servers that already decode, so that the others stay free for prefills of any length.
	const first = findMin(byFreeMemory.filter(load => computeFree(load) >= needed), load => -load.writers) ?? byFreeMemory[0];
	const others = byFreeMemory.filter(load => load !== first);
	let missing = Math.max(0, needed - computeFree(first));
	const ownTokens = needed - missing;
	const helpers = others.map(load => {
		const heldTokens = Math.ceil(Math.min(missing, computeFree(load)));
		missing -= Math.min(missing, heldTokens);
		return {server: load.server.id, heldTokens};
	});
	return missing > 0 ? undefined : {first, helpers, ownTokens};
}
