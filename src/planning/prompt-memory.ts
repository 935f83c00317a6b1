/** How the memory of a prompt is divided among the servers that read it. Pure. */
import type {EngineProfile} from '../routing/index.js';
import {findMin} from './find-min.js';
import type {PlannedHelper, PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';

/** Share of a server's memory that is planned with: answers grow, and blocks are not filled. */
export const usableMemoryShare = 0.92;

/** Which server takes the request, and who holds how much of its prompt; undefined when there is no room. */
export function divideMemory(readers: ServerLoad[], request: PlanRequest, engine: EngineProfile): {first: ServerLoad; helpers: PlannedHelper[]; ownTokens: number} | undefined {
	const need = request.promptTokens + request.outputTokens;
	const findFree = (board: ServerLoad) => Math.max(0, (engine.memoryTokens * usableMemoryShare) - board.heldTokens);
	const byRoom = [...readers].sort((left, right) => findFree(right) - findFree(left));
	// Servers that write already go on writing, so that the others stay free for reads of any length.
	const first = findMin(byRoom.filter(board => findFree(board) >= need), board => -board.writers) ?? byRoom[0];
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
