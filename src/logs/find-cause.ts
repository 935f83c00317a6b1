/** Derives the cause of a request's outcome, as one sentence, from its timeline. */
import {formatTime} from './format-time.js';
import {
	findNumber, findText, listTexts, type LogLine,
} from './log-line.js';
import type {EndedCall, Verdict} from './ended-call.js';
import type {RequestTimeline} from './request-timeline.js';

/** Share of the caller's timeout after which a disconnect is attributed to that timeout. */
const callerLimitShare = 0.9;

/** A wait of more than this share of the objective is reported as the cause of a late first event. */
const minCauseShare = 0.3;

/** Returns the cause as one sentence. */
export function findCause(timeline: RequestTimeline): string {
	if (timeline.ended === undefined) {
		return describeUnfinished(timeline);
	}

	return `${verdictDescribers[timeline.ended.verdict](timeline, timeline.ended)}${describeAvoided(timeline)}`;
}

/** Names the servers that any of its placements avoided for failures. */
function describeAvoided({lines}: RequestTimeline): string {
	const avoided = new Set(lines.filter(line => line.event === 'placed').flatMap(line => listTexts(line, 'avoided')));
	return avoided.size === 0 ? '' : ` It was kept from ${[...avoided].join(', ')}: more answers fail there than at other servers.`;
}

/** Returns the group of causes for which a call lost value, for totals over a day. */
export function findLossGroup(timeline: RequestTimeline, ended: EndedCall): string {
	const budgetNote = timeline.lines.some(line => line.event === 'retry_refused' || line.event === 'retry_not_granted') ? ', no retry left' : '';
	if (ended.verdict === 'late first' || ended.verdict === 'late and long pause') {
		return `late: ${findLateCause(timeline, ended).group}`;
	}

	if (ended.verdict === 'long pause') {
		return timeline.lines.some(line => line.event === 'retry') ? 'long pause: stream went on elsewhere' : 'long pause: at one server';
	}

	if (ended.verdict === 'left by caller') {
		const isPlaced = timeline.lines.some(line => line.event === 'placed');
		const before = isPlaced ? 'before its first event' : 'before it had a place';
		return `left by caller: ${ended.firstAfter === undefined ? before : 'after its first event'}`;
	}

	return `${ended.verdict}: ${ended.outcome}${budgetNote}`;
}

const verdictDescribers: Record<Verdict, (timeline: RequestTimeline, ended: EndedCall) => string> = {
	'in aim': (_story, ended) => `It was served as aimed at: ${describeFirst(ended)}${ended.longestPause === undefined || ended.pauseAim === undefined ? '' : `, ${describePause(ended)}`}.`,
	'late first': (timeline, ended) => `It was served late, ${describeFirst(ended)}: ${describeLate(timeline, ended)}.`,
	'long pause': (timeline, ended) => `It was served with a ${describePause(ended)}: ${describePauseCause(timeline)}.`,
	'late and long pause': (timeline, ended) => `It was served late, ${describeFirst(ended)}, with a ${describePause(ended)}: ${describeLate(timeline, ended)}; ${describePauseCause(timeline)}.`,
	refused: describeRefused,
	rejected: describeRefused,
	'broken off': describeBrokenOff,
	'left by caller': describeCallerGone,
	failed: (timeline, ended) => `It failed with ${ended.status} (${ended.outcome}) after ${formatAttempts(ended.sends)}: ${findReason(timeline, ended)}${describeNoRetry(timeline, ended)}.`,
};

function describeRefused(timeline: RequestTimeline, ended: EndedCall): string {
	const attempts = ended.sends === 0 ? ', and ran nowhere' : ` after ${formatAttempts(ended.sends)}`;
	return `It was refused with ${ended.status} (${ended.outcome})${attempts}: ${findReason(timeline, ended)}${describeConfigAge(ended)}${describeRefusal(timeline)}.`;
}

/** For a rejected request, describes how current the configuration was. */
function describeConfigAge({verdict, configVersion, configAge}: EndedCall): string {
	return verdict === 'rejected' && configVersion !== undefined && configAge !== undefined
		? `; the node had version ${configVersion} of the configuration, and the store was last heard by a node ${formatTime(configAge)} before`
		: '';
}

function describeBrokenOff(timeline: RequestTimeline, ended: EndedCall): string {
	const progress = ended.firstAfter === undefined ? 'before an event had gone out' : 'after events had gone out';
	return `Its answer was broken off ${progress} (${ended.outcome}): ${findReason(timeline, ended)}${describeNoRetry(timeline, ended)}.`;
}

function describeCallerGone(timeline: RequestTimeline, ended: EndedCall): string {
	const left = `Its caller left after ${formatTime(ended.took)}${describeLimit(ended)}`;
	if (ended.firstAfter === undefined) {
		return `${left}, before a first event: ${describePlace(timeline)}.`;
	}

	return ended.sinceLastEvent === undefined
		? `${left}, after a first event at ${formatTime(ended.firstAfter)} and a ${describePause(ended)}; the silence in which it left is no pause.`
		: `${left}, after a first event at ${formatTime(ended.firstAfter)}, in a silence of ${formatTime(ended.sinceLastEvent)}${prefixText('; ', findPlannedPause(timeline))}.`;
}

/** Describes a request without a logged end: its node terminated, or its log is missing. */
function describeUnfinished({lines, related}: RequestTimeline): string {
	const entryNode = lines.map(line => findText(line, 'node')).find(node => node !== undefined) ?? lines[0].writer;
	const crash = lines.find(line => line.event === 'call_crashed');
	if (crash !== undefined) {
		return `The call failed inside node ${crash.writer}, which is a fault of the program: ${findText(crash, 'reason')}; report it.`;
	}

	const lost = related.find(line => (line.event === 'node_lost' && findText(line, 'node') === entryNode) || (line.event === 'started' && line.writer === entryNode));
	return lost === undefined
		? `No line tells its end: it goes on, or the log of node ${entryNode}, which took it, is not whole among the files; give that one too.`
		: `No line tells its end: node ${entryNode}, which took it, ended meanwhile (${lost.event}), and what it carried out was cut.`;
}

function describeFirst(ended: EndedCall): string {
	const what = ended.firstAfter === undefined ? 'the answer' : 'the first event';
	return `${what} after ${formatTime(ended.firstAfter ?? ended.took)}${ended.objective === undefined ? '' : ` of ${formatTime(ended.objective)}`}`;
}

function describePause({longestPause, pauseAim}: EndedCall): string {
	return `longest pause of ${formatTime(longestPause)}${pauseAim === undefined ? '' : ` where ${formatTime(pauseAim)} is aimed at`}`;
}

function describeLate(timeline: RequestTimeline, ended: EndedCall): string {
	return findLateCause(timeline, ended).text;
}

/** Finds why a first event was late: the group for totals, and a description. */
function findLateCause(timeline: RequestTimeline, ended: EndedCall): {group: string; text: string} {
	const retries = timeline.lines.filter(line => line.event === 'retry');
	if (retries.length > 0) {
		return {
			group: 'tried again at another server',
			text: `it was tried again ${retries.length === 1 ? 'once' : `${retries.length} times`}, first since ${describeRetry(retries[0], timeline)}`,
		};
	}

	const passedOver = timeline.lines.find(line => line.event === 'decider_passed_over');
	if (passedOver !== undefined) {
		return {group: 'decider passed over', text: `deciding node ${findText(passedOver, 'node')} was passed over (${findText(passedOver, 'reason')})`};
	}

	const objective = ended.objective ?? 0;
	const placed = timeline.lines.findLast(line => line.event === 'placed');
	const waited = placed === undefined ? 0 : findNumber(placed, 'waited') ?? 0;
	if (waited > objective * minCauseShare) {
		return {group: 'waited for its place', text: `it waited ${formatTime(waited)} for its place${describeWait(timeline)}`};
	}

	const expected = ended.expectedFirst;
	if (expected !== undefined && waited + expected > objective) {
		return {group: 'no better place was free', text: `it was placed though its first event was expected after ${formatTime(waited + expected)}: no better place was free`};
	}

	const left = placed === undefined ? undefined : findNumber(placed, 'objective');
	if (left !== undefined && left < objective) {
		return {group: 'caller had tried before', text: `its caller had tried for ${formatTime(objective - left)} before, which left less time`};
	}

	if (expected === undefined) {
		return {group: 'no line tells', text: 'no line tells what was expected'};
	}

	const excess = (ended.firstAfter ?? ended.took) - waited - expected;
	return {
		group: 'server slower than predicted',
		text: `server ${ended.servers.at(-1) ?? '?'} answered ${formatTime(excess)} later than expected (${formatTime(expected)} from its place)`,
	};
}

function describePauseCause(timeline: RequestTimeline): string {
	const retry = timeline.lines.find(line => line.event === 'retry' && findNumber(line, 'lastEventId') !== undefined);
	return retry === undefined
		? findPlannedPause(timeline) ?? 'no line tells why; look for long reads placed at the same server at that time'
		: `the stream went on elsewhere, since ${describeRetry(retry, timeline)}`;
}

/** Finds the prefill with the longest pause planned on the request's servers while it ran; undefined if there was none. */
function findPlannedPause({lines, related}: RequestTimeline): string | undefined {
	const servers = new Set(lines.flatMap(line => [findText(line, 'server'), ...listTexts(line, 'servers')]));
	const [from, until] = [lines[0].at, lines.at(-1)!.at];
	const prefills = related.filter(line => findNumber(line, 'plannedPause') !== undefined && line.at <= until && line.at + (findNumber(line, 'expectedFirst') ?? 0) >= from);
	const [prefill] = prefills.sort((left, right) => findNumber(right, 'plannedPause')! - findNumber(left, 'plannedPause')!);
	if (prefill === undefined) {
		return undefined;
	}

	const readers = listTexts(prefill, 'readers');
	const server = readers.find(reader => servers.has(reader));
	return `the pause was planned for request ${findText(prefill, 'request')}, of ${findNumber(prefill, 'promptTokens')} tokens, which server ${server} read with ${readers.length - 1} others`;
}

function describeRefusal(timeline: RequestTimeline): string {
	const wait = describeWait(timeline);
	const left = timeline.lines.findLast(line => line.event === 'retry');
	const refused = timeline.lines.findLast(line => line.event === 'refused');
	const inProgress = refused === undefined ? undefined : findNumber(refused, 'inProgress');
	return [
		...wait === '' ? [] : [`; it had waited${wait}`],
		describeEvacuation(timeline),
		...inProgress === undefined ? [] : [`; ${inProgress} plans of the service were in progress`],
		...left === undefined ? [] : [`; before, it was sent away from a server since ${describeRetry(left, timeline)}`],
		describeBudget(timeline),
	].join('');
}

/** Describes the evacuated zones whose servers were left out of the last decision. */
function describeEvacuation({lines}: RequestTimeline): string {
	const decision = lines.findLast(line => ['refused', 'waits', 'placed'].includes(line.event));
	const zones = decision === undefined ? [] : listTexts(decision, 'evacuated');
	// The reason of a rejection for lack of servers already names them.
	return zones.length === 0 || decision?.fields.kind === 'no_backend_server' ? '' : `; servers in ${zones.join(', ')} were left out, since operators evacuated ${zones.length === 1 ? 'this zone' : 'these zones'}`;
}

/** Describes why a request that had been sent was not retried, and the state of its servers. */
function describeNoRetry(timeline: RequestTimeline, ended: EndedCall): string {
	if (ended.outcome === 'bound_passed_running') {
		return `; ${describePlace(timeline)}`;
	}

	const left = timeline.lines.findLast(line => line.event === 'retry');
	if (left !== undefined) {
		return `; it had left ${findText(left, 'after')} since ${findText(left, 'reason')}${formatServerState(findText(left, 'after'), timeline)}${describeBudget(timeline)}`;
	}

	return `${formatServerState(ended.servers.at(-1), timeline)}${describeBudget(timeline)}`;
}

function formatServerState(server: string | undefined, timeline: RequestTimeline): string {
	const state = describeServer(server, timeline);
	return state === '' ? '' : `; ${state}`;
}

function describeBudget({lines}: RequestTimeline): string {
	const refused = lines.find(line => line.event === 'retry_refused');
	if (refused !== undefined) {
		return `; the fleet's retry budget was spent (${findNumber(refused, 'spent')} retries of ${findNumber(refused, 'requests')} requests)`;
	}

	const notGranted = lines.find(line => line.event === 'retry_not_granted');
	return notGranted === undefined ? '' : `; ${notGranted.fields.answer === false ? 'the fleet had no retry left' : `deciding node ${findText(notGranted, 'node')} did not answer for a retry`}`;
}

/** Describes the last placement and the later state of its server. */
function describePlace(timeline: RequestTimeline): string {
	const placed = timeline.lines.findLast(line => line.event === 'placed');
	if (placed === undefined) {
		return `it had no place${describeWait(timeline)}`;
	}

	const server = findText(placed, 'server');
	const state = describeServer(server, timeline);
	const times = `after ${formatTime(findNumber(placed, 'waited'))}, its first event expected ${formatTime(findNumber(placed, 'expectedFirst'))} later`;
	return `it was placed at ${server} ${times}${state === '' ? '' : `; ${state}`}`;
}

const waitReasons: Record<string, string> = {
	reading: 'servers were still read or others read first',
	writers: 'those who write would have paused too long',
	memory: 'no memory was free',
	cold: 'warm servers were full and cold ones took no more requests',
};

function describeWait({lines}: RequestTimeline): string {
	const waits = lines.find(line => line.event === 'waits');
	const reason = waits === undefined ? undefined : findText(waits, 'reason');
	return reason === undefined ? '' : `, since ${waitReasons[reason] ?? reason}`;
}

function describeRetry(retry: LogLine, timeline: RequestTimeline): string {
	const after = findText(retry, 'after');
	const state = describeServer(after, timeline);
	return `${findText(retry, 'reason')} (${after}${state === '' ? '' : `; ${state}`})`;
}

const serverStates: Record<string, string> = {
	server_gone: 'its entry went at that time',
	server_doubtful: 'its entry went in an outage of the store',
	server_leaving: 'it was leaving',
	server_overwritten: 'another writer stood in its place',
	server_restarted: 'it started again',
	server_cold: 'it was cold',
};

/** Events of servers that only take fewer requests. */
const coldEvents = new Set(['server_cold', 'server_warm']);

function describeServer(server: string | undefined, {related}: RequestTimeline): string {
	const lines = server === undefined ? [] : related.filter(candidate => findText(candidate, 'server') === server || findText(candidate, 'before') === server);
	// A server that ended has mostly been cold before, or is afterwards: its end explains more.
	const line = lines.find(({event}) => !coldEvents.has(event)) ?? lines[0];
	return line === undefined ? '' : serverStates[line.event] ?? '';
}

function findReason({lines}: RequestTimeline, ended: EndedCall): string {
	return ended.reason ?? lines.map(line => findText(line, 'reason')).findLast(reason => reason !== undefined) ?? 'no line tells why';
}

function formatAttempts(sends: number): string {
	return sends === 1 ? 'one try' : `${sends} tries`;
}

function describeLimit({callerWaits, took}: EndedCall): string {
	return callerWaits !== undefined && took >= callerWaits * callerLimitShare ? `, its own limit of ${formatTime(callerWaits)}` : '';
}

function prefixText(prefix: string, text: string | undefined): string {
	return text === undefined ? '' : prefix + text;
}
