/** Chooses the servers that may run a request, by earlier failures and reservations; limits are applied later. Pure. */
import type {BackendServerId} from '../common/index.js';
import type {QuarantineState} from './crashes/index.js';
import type {PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';

/** A request, its quarantine state, and the servers that accept new work. */
export type UsableServersInput = {
	request: PlanRequest;
	quarantine: QuarantineState;
	loads: Iterable<ServerLoad>;
	/** Whether a server is reserved for a request that may crash it. */
	isReserved: (server: BackendServerId) => boolean;
};

/** The servers that may run a request: the most reliable ones that are open to it, or the next best; empty only when none is left. */
export function listUsableServers({request, quarantine, loads, isReserved}: UsableServersInput, now: number): ServerLoad[] {
	const {excluded, failedAt = []} = request;
	const all = [...loads];
	const others = all.filter(load => !excluded.includes(load.server.id));
	// A server that failed the request may succeed next time; without any other server the request would certainly fail.
	const candidates = others.length > 0 ? others : all.filter(load => failedAt.includes(load.server.id));
	const notBackedOff = candidates.filter(load => !load.health.isBackingOff(now));
	const reliable = notBackedOff.filter(load => load.health.mayTake(load.taskCount, now, request.canRepeat));
	const isOpenTo = (load: ServerLoad) => quarantine.kind === 'isolated' || !isReserved(load.server.id);
	// Any server is better than none: the failures may have a common cause.
	return [reliable.filter(load => isOpenTo(load)), notBackedOff.filter(load => isOpenTo(load)), reliable, notBackedOff, candidates].find(list => list.length > 0) ?? [];
}
