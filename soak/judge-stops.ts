/** Checks how nodes end, and what becomes of requests on kept connections. Pure. */
import type {
	CallRecord, RunRecords, StopRecord, Violation,
} from './records.js';

/** Time after its last byte after which a request counts as read, in milliseconds. */
const readTime = 200;

/** Time without a disruption before a request from which on its node counts as undisturbed, in milliseconds. */
const contactTime = 3000;

/** Time after its grace period for which a shutdown counts, and time in which a SIGHUP takes effect, in milliseconds. */
const stopSlack = 1000;
const reloadTime = 2000;

/** Fraction of the grace period after which requests that are still running may be cut off, if they were sent within a time after SIGTERM in milliseconds. */
const gracefulShare = 5 / 6;
const excusedTime = 3000;

/** Number of requests on kept connections that may end without an answer at other times. */
const toleratedCloses = 3;

/** A request on a kept connection that was read and did not end; `lastDoneAt` is when its last server had finished. */
type Cut = {call: CallRecord; isRun: boolean; lastDoneAt: number; stop?: StopRecord};

/** Planned work must not cut off requests on kept connections, and at other times no node may close one without an answer. */
export function checkKept(records: RunRecords, graceMs: number): Violation[] {
	const cuts = findCuts(records, graceMs);
	const stopped = cuts.filter(({call, stop, lastDoneAt}) => stop !== undefined
		&& !(Math.min(lastDoneAt, call.endedAt) >= stop.at + (graceMs * gracefulShare) && call.sentAt <= stop.at + excusedTime));
	const others = cuts.filter(({stop}) => stop === undefined);
	const reloaded = others.filter(({call}) => records.reloads.some(({node, at}) => node === call.node && call.sentAt <= at + reloadTime && call.endedAt >= at));
	const closed = others.filter(({call, isRun}) => isRun && call.status === 0);
	return [
		...stopped.map(({call, stop}) => describe('a planned stop cuts off no request on a kept connection', call, `cut ${call.endedAt - stop!.at} ms after SIGTERM`)),
		...reloaded.map(({call}) => describe('a reload cuts off no request on a kept connection', call, 'cut after SIGHUP')),
		...(closed.length > toleratedCloses ? closed : []).map(({call}) => describe('no kept connection is closed without an answer', call, `one of ${closed.length}`)),
	];
}

/** Nodes must end only when asked to, and then with code 0 within their grace period. */
export function checkEnds({ownEnds, stops, faults}: RunRecords): Violation[] {
	const failed = stops.filter(stop => stop.exit !== undefined && stop.exit !== 'code 0'
		&& !faults.some(fault => fault.node === stop.node && fault.from <= stop.endedAt && fault.to >= stop.at));
	return [
		...ownEnds.map(({node, exit}) => ({promise: 'a node ends only when it is asked to', id: node, detail: exit})),
		...failed.map(({node, exit, wasKilled, at, endedAt}) => ({promise: 'a planned stop ends with 0 within its grace', id: node, detail: `${wasKilled === true ? 'killed' : exit!} after ${endedAt - at} ms`})),
	];
}

/** Finds requests on kept connections that did not end, through no fault of their servers or links. */
function findCuts({
	calls, runs, stops, faults, cuts,
}: RunRecords, graceMs: number): Cut[] {
	return calls.filter(call => call.isKept && !call.isComplete && call.endedAt - call.sentAt < call.limit).flatMap(call => {
		const own = runs.filter(run => run.id === call.id);
		const overlaps = (span: {from: number; to: number}) => span.from <= call.endedAt && span.to + contactTime >= call.sentAt;
		const isDisturbed = faults.some(fault => overlaps(fault) && (fault.node === call.node || own.some(run => run.server === fault.server)))
			|| cuts.some(cut => overlaps(cut) && cut.nodes.includes(call.node));
		if (isDisturbed || (own.length === 0 && call.endedAt - call.sentAt <= readTime)) {
			return [];
		}

		const stop = stops.find(each => each.node === call.node && call.endedAt >= each.at
			&& call.endedAt <= each.at + graceMs + stopSlack);
		return [{
			call, isRun: own.length > 0, lastDoneAt: Math.max(...own.map(({doneAt = Infinity}) => doneAt)), stop,
		}];
	});
}

function describe(promise: string, call: CallRecord, detail: string): Violation {
	return {promise, id: call.id, detail: `${detail} at ${call.node}, ${call.endedAt - call.sentAt} ms after it was sent`};
}
