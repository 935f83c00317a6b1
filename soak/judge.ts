/** Checks the promises of the pages against what was seen from outside. Pure. */
import {
	keptVersions, type CallRecord, type FaultRecord, type RunRecords,
} from './records.js';

/** A promise that was broken. */
export type Violation = {promise: string; id: string; detail: string};

/** Statuses that say that a request did not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Time beyond its limit in which a request must have ended, in milliseconds: the bound of the pages and the way back. */
const endSlack = 700;

/** Time after which a leaving server gets nothing new, in milliseconds: the pages' two seconds and the way of a request. */
const drainLimit = 2300;

/** Time in which a change of the configuration must be in force, in milliseconds: the pages' two seconds and the way of a request. */
const changeLimit = 2300;

/** Time after an answer by a newer version in which one by an older may still come, in milliseconds: they may have crossed. */
const rollbackSlack = 250;

/** Time after a fault in which its effects still show, in milliseconds: silences are noticed and views caught up. */
const aftermath = 3000;

/** Time after a planned stop in which its node starts again, in milliseconds. */
const restartTime = 2000;

/** Time after a fault of a node, or of a server that worked on it, in which a request may still break, in milliseconds. */
const breakSlack = 500;

/** What a slow store may add to the time of a change, in milliseconds: the answer that had left before it, and one more. */
const slowSlack = 1800;

/** Time from the first answer that names a limit, or from a third crash, until it binds, in milliseconds. */
const contactTime = 3000;

/** Length of a window of limited arrivals, in milliseconds, how far they may exceed the limit in it, and how many may come besides. */
const limitWindow = 4000;
const limitExcess = 1.5;
const limitSlack = 5;

/** Time after which a node that saw the limit has to keep it, in milliseconds. */
const toldTime = 500;

/** Crashes after which a request must be rejected, and the number of later arrivals that are tolerated. */
const crashesToReject = 3;
const lateArrivals = 3;

/** Last part of the grace in which a stopping node may end what has not ended, as a share. */
const cutShare = 5 / 6;

/** Everything that must hold, checked one after the other. */
export function judgeRun(records: RunRecords, graceMs: number): Violation[] {
	return [
		...checkAnswers(records),
		...checkRuns(records),
		...checkBounds(records),
		...checkLeaving(records),
		...checkVersions(records),
		...checkAdded(records),
		...checkStops(records, graceMs),
		...checkLimits(records),
		...checkCrashing(records),
		...records.unusedServers.map(({node, usable, ready}) => ({promise: 'every node uses the ready servers', id: node, detail: `${usable} of ${ready} servers`})),
		...records.leftMemory.map(left => ({promise: 'memory set aside is freed', id: left.reservation, detail: `still held at ${left.server}`})),
	];
}

/** Each answer that looks complete is the whole answer of its own request. */
function checkAnswers({calls}: RunRecords): Violation[] {
	return calls
		.filter(call => call.isComplete && call.wrong !== undefined)
		.map(call => ({promise: 'a complete answer is whole and its own', id: call.id, detail: `${call.wrong} (status ${call.status}, node ${call.node})`}));
}

/** What may run once runs once; what was told not to have run has not. */
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

/** Every request ends within its bound, unless its node or the way to it was disturbed. */
function checkBounds(records: RunRecords): Violation[] {
	return records.calls
		.filter(call => call.endedAt - call.sentAt > call.limit + endSlack)
		.filter(call => !isDisturbed(records, call, call.sentAt, call.endedAt))
		.map(call => ({promise: 'every request ends within its bound', id: call.id, detail: `${call.endedAt - call.sentAt} ms of ${call.limit}, node ${call.node}`}));
}

/** A leaving server gets nothing new from a node that nothing kept from hearing of it. */
function checkLeaving(records: RunRecords): Violation[] {
	const {runs, changes} = records;
	const leaving = new Map(changes.filter(change => change.leaving !== undefined).map(change => [change.leaving!, change.at]));
	return runs
		.filter(run => run.at - (leaving.get(run.server) ?? Infinity) > drainLimit + findSlack(records, leaving.get(run.server) ?? Infinity, run.at))
		.filter(run => !isDisturbed(records, run, leaving.get(run.server)!, run.at))
		.map(run => ({promise: 'a leaving server gets nothing new', id: run.id, detail: `server ${run.server} got it ${run.at - leaving.get(run.server)!} ms after it left, from ${run.node}`}));
}

/** A change is in force in time, and no node goes back. */
function checkVersions(records: RunRecords): Violation[] {
	const {calls, changes} = records;
	const versions = changes.flatMap(({at, sentAt, version}) => version === undefined ? [] : [{at, sentAt, ...version}]);
	const shown = calls.filter(call => call.kind === 'version' && call.isComplete && call.status === 200).sort((left, right) => left.sentAt - right.sentAt);
	return shown.flatMap((call, index) => {
		const due = versions.findLastIndex(version => version.at + changeLimit + findSlack(records, version.at, call.endedAt) < call.sentAt);
		const possible = findPossible(versions, call);
		const newest = Math.max(-1, ...possible);
		if (newest < due && !isDisturbed(records, call, versions[due].at, call.endedAt)) {
			const after = call.sentAt - versions[due].at;
			return [{promise: 'a change is in force in time', id: call.id, detail: `${call.service} answered at ${call.node} ${after} ms after version ${versions[due].number}`}];
		}

		// A late answer is no way back: what counts is the newest version that its service may stand for at all.
		const newestSent = versions.findLastIndex(version => version.service === call.service && version.sentAt <= call.endedAt);
		const later = shown.slice(0, index).findLast(earlier => earlier.node === call.node
			&& earlier.endedAt + rollbackSlack < call.sentAt
			&& findOldest(versions, earlier) > newestSent);
		if (later !== undefined && !isDisturbed(records, call, later.sentAt, call.endedAt)) {
			return [{promise: 'a node never goes back to an older configuration', id: call.id, detail: `${call.service} answered at ${call.node} after ${later.service} had`}];
		}

		return [];
	});
}

/** A route and a key are known to every node in time, and unknown in time after they were dropped. */
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

/** A store that answers late makes changes late by as much. */
function findSlack({faults}: RunRecords, from: number, to: number): number {
	return faults.some(fault => fault.kind === 'store_slow' && fault.from <= to && fault.to + aftermath >= from) ? slowSlack : 0;
}

/** The oldest version that an answer may have come from; of one that is too late for all of them nothing is known. */
function findOldest(versions: Parameters<typeof findPossible>[0], call: CallRecord): number {
	return findPossible(versions, call)[0] ?? -1;
}

/** Indexes of the versions that an answer may have come from: sent by then, and not replaced for longer than the bound. */
function findPossible(versions: Array<{at: number; sentAt: number; service: string}>, call: CallRecord): number[] {
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

/** A server gets no more than the limit that it has named for three seconds, from nodes that have seen it and are well. */
function checkLimits(records: RunRecords): Violation[] {
	const spans = collectBy(records.limitedArrivals, ({server, namedAt}) => `${server} since ${namedAt}`);
	return [...spans].flatMap(([id, arrivals]) => {
		const counted = arrivals.filter(arrival => arrival.at > arrival.namedAt + contactTime
			&& arrivals.some(({node, at}) => node === arrival.node && at + toldTime < arrival.at)
			&& !isDisturbed(records, arrival, arrival.at - contactTime, arrival.at));
		const allowed = (arrivals[0].limit * limitWindow / 1000 * limitExcess) + limitSlack;
		const busiest = Math.max(0, ...counted.map(({at}) => counted.filter(other => other.at >= at && other.at <= at + limitWindow).length));
		return busiest > allowed ? [{promise: 'a named limit is kept', id, detail: `${busiest} requests in ${limitWindow} ms at ${arrivals[0].limit} a second`}] : [];
	});
}

/** A request that has crashed three servers is rejected from then on. */
function checkCrashing(records: RunRecords): Violation[] {
	const requests = collectBy(records.crashes, ({request}) => request);
	return [...requests].flatMap(([id, seen]) => {
		const crashes = seen.filter(({hasCrashed}) => hasCrashed).map(({at}) => at).sort((left, right) => left - right);
		const third = crashes[crashesToReject - 1] ?? Infinity;
		const late = seen.filter(({hasCrashed, at, node}) => !hasCrashed && at > third + contactTime && !isDisturbed(records, {node}, at - contactTime, at));
		return late.length > lateArrivals ? [{promise: 'a crashing request is rejected', id, detail: `${late.length} arrivals ${contactTime} ms after the third of ${crashes.length} crashes`}] : [];
	});
}

/** A planned stop cuts off nothing that was passed on, also of what still comes on open connections. */
function checkStops({
	calls, runs, stops, faults,
}: RunRecords, graceMs: number): Violation[] {
	const servers = new Map<string, Set<string>>();
	for (const run of runs) {
		servers.set(run.id, new Set([...servers.get(run.id) ?? [], run.server]));
	}

	return stops.flatMap(stop => calls
		.filter(call => call.node === stop.node && !call.isComplete && (call.status > 0 || servers.has(call.id)))
		.filter(call => call.sentAt <= stop.endedAt && call.endedAt >= stop.at && call.endedAt <= stop.at + (graceMs * cutShare))
		.filter(call => !faults.some(fault => fault.from <= call.endedAt && fault.to + breakSlack >= call.sentAt
			&& (fault.node === call.node || servers.get(call.id)?.has(fault.server ?? ''))))
		.map(call => ({promise: 'a planned stop cuts nothing off', id: call.id, detail: `cut ${call.endedAt - stop.at} ms after SIGTERM at ${stop.node}`})));
}

/**
 * Whether something may have kept a node from keeping a promise in a span.
 *
 * Faults of other nodes and of servers don't excuse it.
 */
function isDisturbed({faults, stops}: RunRecords, who: Pick<CallRecord, 'node'>, from: number, to: number): boolean {
	const isNear = (span: {from: number; to: number}) => span.from <= to && span.to + aftermath >= from;
	const isUnwell = (node: string) => faults.some(fault => fault.node === node && isNear(fault))
		|| stops.some(stop => stop.node === node && isNear({from: stop.at, to: stop.endedAt + restartTime}));
	return faults.filter(fault => isNear(fault)).some(fault => fault.node === who.node || isForAll(fault, isUnwell));
}

/** Whether a fault keeps every node from hearing of changes. */
function isForAll({kind, node, server, served}: FaultRecord, isUnwell: (node: string) => boolean): boolean {
	if (kind === 'store_slow') {
		return false;
	}

	return served === undefined ? node === undefined && server === undefined : served.every(name => isUnwell(name));
}
