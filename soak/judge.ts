/** Checks the documented guarantees against the records of a run. Pure. */
import {checkEnds, checkKept} from './judge-stops.js';
import {
	keptVersions, type CallRecord, type FaultRecord, type RunRecords, type Violation,
} from './records.js';

/** Statuses that guarantee that a request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Statuses by which a node says that its configuration does not allow a request. */
const refusalStatuses = new Set([401, 403, 404]);

/** Time after its deadline within which a request must end, in milliseconds: the documented bound plus the network time of the response. */
const endSlack = 700;

/** Time after which a draining server receives no new requests, in milliseconds: the documented two seconds plus the network time of a request. */
const drainLimit = 2300;

/** Time after which an evacuated zone receives no new requests, in milliseconds: the two seconds that nodes aim at plus the network time of a request. */
const evacuationLimit = 2300;

/** Time within which a configuration change must take effect, in milliseconds: the documented two seconds plus the network time of a request. */
const changeLimit = 2300;

/** Time after a response from a newer version during which one from an older version may still arrive, in milliseconds, because responses can be reordered. */
const rollbackSlack = 250;

/** Time after a fault during which its effects are still excused, in milliseconds: nodes detect stalled connections and catch up. */
const recoveryTime = 3000;

/** Time a node may take to restart after a graceful shutdown, in milliseconds. */
const restartTime = 2000;

/** Time after a fault of its node or its server during which a request may still fail, in milliseconds. */
const breakSlack = 500;

/** Extra time that a slow store may add to a change, in milliseconds: one response already in flight before the change, and one more. */
const slowSlack = 1800;

/** Time from the first announcement of a rate limit, or from the third crash, until it must be enforced, in milliseconds. */
const enforcementDelay = 3000;

/** Window for counting rate-limited requests, in milliseconds, the tolerated factor above the limit, and the tolerated number of extra requests. */
const limitWindow = 4000;
const limitExcess = 1.5;
const limitSlack = 5;

/** Time after which a node that has received the limit must apply it, in milliseconds. */
const limitUpdateTime = 500;

/** Number of crashes after which a request must be rejected, and the tolerated number of later arrivals. */
const crashesToReject = 3;
const maxLateArrivals = 3;

/** Time after a cut from which on callers of cut nodes must be served, in milliseconds; their minimum ratio to callers of other nodes; and the failures that are tolerated, as a number and a share. */
const cutContactTime = 3000;
const minCutServedRatio = 2 / 3;
const toleratedCutFailures = 10;
const toleratedCutFailureShare = 1 / 50;

/** Fraction of the grace period during which a stopping node must not abort requests; in the rest it may. */
const gracefulShare = 5 / 6;

/** Returns all violations in the records of a run; `graceMs` is the grace period of a graceful shutdown. */
export function evaluateRun(records: RunRecords, graceMs: number): Violation[] {
	return [
		...checkAnswers(records),
		...checkRuns(records),
		...checkBounds(records),
		...checkLeaving(records),
		...checkEvacuations(records),
		...checkVersions(records),
		...checkAdded(records),
		...checkStops(records, graceMs),
		...checkCuts(records),
		...checkKept(records, graceMs),
		...checkEnds(records),
		...checkRefusals(records),
		...checkLimits(records),
		...checkCrashing(records),
		...records.unusedServers.map(({node, usable, ready}) => ({promise: 'every node uses the ready servers', id: node, detail: `${usable} of ${ready} servers`})),
		...records.leftMemory.map(left => ({promise: 'memory set aside is freed', id: left.reservation, detail: `still held at ${left.server}`})),
	];
}

/** A complete response must be the full response to its own request. */
function checkAnswers({calls, flooded}: RunRecords): Violation[] {
	return calls
		.filter(call => call.isComplete && call.wrong !== undefined && !flooded.has(call.id))
		.map(call => ({promise: 'a complete answer is whole and its own', id: call.id, detail: `${call.wrong} (status ${call.status}, node ${call.node})`}));
}

/** A non-retryable request must run at most once, and a request reported as not run must not have run. */
function checkRuns({calls, runs}: RunRecords): Violation[] {
	const counts = collectBy(runs, ({id}) => id);

	return calls.flatMap(call => {
		const own = counts.get(call.id) ?? [];
		const found: Violation[] = [];
		if (call.kind === 'once' && own.length > 1) {
			found.push({promise: 'at most once', id: call.id, detail: `ran at ${own.map(run => run.server).join(', ')}`});
		}

		if (call.isComplete && notRunStatuses.has(call.status) && own.length > 0) {
			found.push({promise: 'told not to have run, it has not', id: call.id, detail: `status ${call.status}, ran at ${own[0].server}`});
		}

		return found;
	});
}

/** Every request must end within its bound, unless a fault affected its node or the link to it. */
function checkBounds(records: RunRecords): Violation[] {
	return records.calls
		.filter(call => call.endedAt - call.sentAt > call.limit + endSlack)
		.filter(call => !isDisturbed(records, call, call.sentAt, call.endedAt))
		.map(call => ({promise: 'every request ends within its bound', id: call.id, detail: `${call.endedAt - call.sentAt} ms of ${call.limit}, node ${call.node}`}));
}

/** A draining server must receive no new requests, except from nodes that a fault kept from receiving the change. */
function checkLeaving(records: RunRecords): Violation[] {
	const {runs, changes} = records;
	const leaving = new Map(changes.filter(change => change.leaving !== undefined).map(change => [change.leaving!, change.at]));
	return runs
		.filter(run => run.at - (leaving.get(run.server) ?? Infinity) > drainLimit + findSlack(records, leaving.get(run.server) ?? Infinity, run.at))
		.filter(run => !isDisturbed(records, run, leaving.get(run.server)!, run.at))
		.map(run => ({promise: 'a leaving server gets nothing new', id: run.id, detail: `server ${run.server} got it ${run.at - leaving.get(run.server)!} ms after it left, from ${run.node}`}));
}

/** A server of an evacuated zone must receive no new requests, except from nodes that a fault kept from receiving the change. */
function checkEvacuations(records: RunRecords): Violation[] {
	return records.evacuations.flatMap(({zone, at, endedAt}) => records.runs
		.filter(run => run.zone === zone && run.at < endedAt && run.at > at + evacuationLimit + findSlack(records, at, run.at))
		.filter(run => !isDisturbed(records, run, at, run.at))
		.map(run => ({promise: 'an evacuated zone gets nothing new', id: run.id, detail: `server ${run.server} got it ${run.at - at} ms after the evacuation of ${zone}, from ${run.node}`})));
}

/** A configuration change must take effect in time, and no node may return to an older version. */
function checkVersions(records: RunRecords): Violation[] {
	const {calls, changes} = records;
	const versions = changes.flatMap(({at, sentAt, version}) => version === undefined ? [] : [{at, sentAt, ...version}]);
	const shown = calls.filter(call => call.kind === 'version' && call.isComplete && call.status === 200).sort((left, right) => left.sentAt - right.sentAt);
	return shown.flatMap((call, index) => {
		const due = versions.findLastIndex(version => version.at + changeLimit + findSlack(records, version.at, call.endedAt) < call.sentAt);
		const possible = findPossibleVersions(versions, call);
		const newest = Math.max(-1, ...possible);
		if (newest < due && !isDisturbed(records, call, versions[due].at, call.endedAt)) {
			const after = call.sentAt - versions[due].at;
			return [{promise: 'a change is in force in time', id: call.id, detail: `${call.service} answered at ${call.node} ${after} ms after version ${versions[due].number}`}];
		}

		// A late response is not a rollback: compare with the newest version that uses the same service.
		const newestSent = versions.findLastIndex(version => version.service === call.service && version.sentAt <= call.endedAt);
		const later = shown.slice(0, index).findLast(earlier => earlier.node === call.node
			&& earlier.endedAt + rollbackSlack < call.sentAt
			&& findOldestVersion(versions, earlier) > newestSent);
		if (later !== undefined && !isDisturbed(records, call, later.sentAt, call.endedAt)) {
			return [{promise: 'a node never goes back to an older configuration', id: call.id, detail: `${call.service} answered at ${call.node} after ${later.service} had`}];
		}

		return [];
	});
}

/** Every node must accept an added route and key in time, and reject them in time after their removal. */
function checkAdded(records: RunRecords): Violation[] {
	const versions = records.changes.flatMap(({at, sentAt, version}) => version === undefined ? [] : [{at, sentAt, number: version.number}]);
	return records.calls.filter(call => call.kind === 'added' && call.isComplete).flatMap(call => {
		const added = versions.find(version => version.number === call.addedBy);
		const dropped = versions.find(version => version.number === call.addedBy! + keptVersions);
		const isKnownToAll = added !== undefined && added.at + changeLimit + findSlack(records, added.at, call.endedAt) < call.sentAt && (dropped === undefined || dropped.sentAt > call.endedAt);
		if (isKnownToAll && (call.status === 401 || call.status === 404) && !isDisturbed(records, call, added.at, call.endedAt)) {
			return [{promise: 'a new route or key is served in time', id: call.id, detail: `status ${call.status} at ${call.node} ${call.sentAt - added.at} ms after version ${added.number}`}];
		}

		const isUnknownToAll = dropped !== undefined && dropped.at + changeLimit + findSlack(records, dropped.at, call.endedAt) < call.sentAt;
		if (isUnknownToAll && call.status === 200 && !isDisturbed(records, call, dropped.at, call.endedAt)) {
			return [{promise: 'a dropped route or key is served no more', id: call.id, detail: `served at ${call.node} ${call.sentAt - dropped.at} ms after version ${dropped.number}`}];
		}

		return [];
	});
}

/** What every version allows must not be refused. */
function checkRefusals({calls}: RunRecords): Violation[] {
	return calls.filter(call => call.kind !== 'added' && refusalStatuses.has(call.status))
		.map(call => ({promise: 'what every configuration allows is not refused', id: call.id, detail: `status ${call.status} at ${call.node}`}));
}

/** Returns the extra time for a change when the store responded slowly, in milliseconds. */
function findSlack({faults}: RunRecords, from: number, to: number): number {
	return faults.some(fault => fault.kind === 'store_slow' && fault.from <= to && fault.to + recoveryTime >= from) ? slowSlack : 0;
}

/** Returns the index of the oldest version that can have produced a response, or -1 when the response is too late for all versions. */
function findOldestVersion(versions: Parameters<typeof findPossibleVersions>[0], call: CallRecord): number {
	return findPossibleVersions(versions, call)[0] ?? -1;
}

/** Returns the indexes of the versions that can have produced a response: already sent, and not replaced for longer than the bound. */
function findPossibleVersions(versions: Array<{at: number; sentAt: number; service: string}>, call: CallRecord): number[] {
	return versions.flatMap((version, index) => {
		const next = versions[index + 1];
		const isOver = next !== undefined && next.at + changeLimit < call.sentAt;
		return version.service === call.service && version.sentAt <= call.endedAt && !isOver ? [index] : [];
	});
}

function collectBy<Item>(items: Item[], findKey: (item: Item) => string): Map<string, Item[]> {
	const groups = new Map<string, Item[]>();
	for (const item of items) {
		const key = findKey(item);
		groups.set(key, [...groups.get(key) ?? [], item]);
	}

	return groups;
}

/** Callers of nodes that are cut from all servers must be served about as often as those of other nodes. */
function checkCuts(records: RunRecords): Violation[] {
	return records.cuts.flatMap(({nodes, from, to}) => {
		const counted = records.calls.filter(call => call.kind !== 'added' && call.sentAt >= from + cutContactTime && call.sentAt < to
			&& !isDisturbed(records, call, call.sentAt - recoveryTime, call.endedAt));
		const [cut, others] = [true, false].map(isCut => counted.filter(call => nodes.includes(call.node) === isCut));
		const [served, othersServed] = [cut, others].map(calls => calls.filter(({status, isComplete}) => status === 200 && isComplete).length);
		const isTolerated = cut.length - served <= toleratedCutFailures + (counted.length * toleratedCutFailureShare);
		return isTolerated || others.length === 0 || served / cut.length >= minCutServedRatio * othersServed / others.length
			? []
			: [{promise: 'nodes that are cut from all servers serve their callers', id: nodes.join(' '), detail: `${served} of ${cut.length} requests, the others ${othersServed} of ${others.length}`}];
	});
}

/** Healthy nodes that have received a rate limit must not exceed it from three seconds after its announcement. */
function checkLimits(records: RunRecords): Violation[] {
	const spans = collectBy(records.limitedArrivals, ({server, namedAt}) => `${server} since ${namedAt}`);
	return [...spans].flatMap(([id, arrivals]) => {
		const counted = arrivals.filter(arrival => arrival.at > arrival.namedAt + enforcementDelay
			&& arrivals.some(({node, at}) => node === arrival.node && at + limitUpdateTime < arrival.at)
			&& !isDisturbed(records, arrival, arrival.at - enforcementDelay, arrival.at));
		const allowed = (arrivals[0].limit * limitWindow / 1000 * limitExcess) + limitSlack;
		const busiest = Math.max(0, ...counted.map(({at}) => counted.filter(other => other.at >= at && other.at <= at + limitWindow).length));
		return busiest > allowed ? [{promise: 'a named limit is kept', id, detail: `${busiest} requests in ${limitWindow} ms at ${arrivals[0].limit} a second`}] : [];
	});
}

/** A request that has crashed three servers must be rejected from then on. */
function checkCrashing(records: RunRecords): Violation[] {
	const requests = collectBy(records.crashes, ({request}) => request);
	return [...requests].flatMap(([id, seen]) => {
		const crashes = seen.filter(({hasCrashed}) => hasCrashed).map(({at}) => at).sort((left, right) => left - right);
		const third = crashes[crashesToReject - 1] ?? Infinity;
		const late = seen.filter(({hasCrashed, at, node}) => !hasCrashed && at > third + enforcementDelay && !isDisturbed(records, {node}, at - enforcementDelay, at));
		return late.length > maxLateArrivals
			? [{promise: 'a crashing request is rejected', id, detail: `${late.length} arrivals ${enforcementDelay} ms after the third of ${crashes.length} crashes`}]
			: [];
	});
}

/** A graceful shutdown must not abort forwarded requests, including those that still arrive on open connections. */
function checkStops({
	calls, runs, stops, faults,
}: RunRecords, graceMs: number): Violation[] {
	const servers = new Map<string, Set<string>>();
	for (const run of runs) {
		servers.set(run.id, new Set([...servers.get(run.id) ?? [], run.server]));
	}

	return stops.flatMap(stop => calls
		.filter(call => call.node === stop.node && !call.isComplete && (call.status > 0 || servers.has(call.id)))
		.filter(call => call.sentAt <= stop.endedAt && call.endedAt >= stop.at && call.endedAt <= stop.at + (graceMs * gracefulShare))
		.filter(call => !faults.some(fault => fault.from <= call.endedAt && fault.to + breakSlack >= call.sentAt
			&& (fault.node === call.node || servers.get(call.id)?.has(fault.server ?? ''))))
		.map(call => ({promise: 'a planned stop cuts nothing off', id: call.id, detail: `cut ${call.endedAt - stop.at} ms after SIGTERM at ${stop.node}`})));
}

/**
 * Returns whether a fault or a shutdown excuses a violation by a node in a time span.
 *
 * Faults of other nodes and of servers are no excuse.
 */
function isDisturbed({faults, stops}: RunRecords, who: Pick<CallRecord, 'node'>, from: number, to: number): boolean {
	const isOverlapping = (span: {from: number; to: number}) => span.from <= to && span.to + recoveryTime >= from;
	const isNodeDisturbed = (node: string) => faults.some(fault => fault.node === node && isOverlapping(fault))
		|| stops.some(stop => stop.node === node && isOverlapping({from: stop.at, to: stop.endedAt + restartTime}));
	return faults.filter(fault => isOverlapping(fault)).some(fault => fault.node === who.node || isForAllNodes(fault, isNodeDisturbed));
}

/** Returns whether a fault keeps every node from receiving changes. */
function isForAllNodes({kind, node, server, served}: FaultRecord, isUnwell: (node: string) => boolean): boolean {
	if (kind === 'store_slow') {
		return false;
	}

	return served === undefined ? node === undefined && server === undefined : served.every(name => isUnwell(name));
}
