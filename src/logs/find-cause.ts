/** Says in one sentence why a request ended as it did. Pure. */
import {formatTime} from './format-time.js';
import {
	findNumber, findText, listTexts, type LogLine,
} from './log-line.js';
import type {EndedCall, Verdict} from './ended-call.js';
import type {RequestStory} from './request-story.js';

/** Share of what its caller waits for after which the caller's leaving is its own limit. */
const ownLimitShare = 0.9;

/** A wait or a delay of more than this share of the objective is named as the cause of a late first event. */
const namedShare = 0.3;

/** Finds the cause. */
export function findCause(story: RequestStory): string {
	if (story.ended === undefined) {
		return describeOpen(story);
	}

	return describers[story.ended.verdict](story, story.ended);
}

/** Finds the group of causes that a call lost its worth by, for sums over a day. */
export function findLossGroup(story: RequestStory, ended: EndedCall): string {
	const spent = story.lines.some(line => line.event === 'retry_refused' || line.event === 'retry_not_granted') ? ', no retry left' : '';
	if (ended.verdict === 'late first' || ended.verdict === 'late and long pause') {
		return `late: ${findLateCause(story, ended).group}`;
	}

	if (ended.verdict === 'long pause') {
		return story.lines.some(line => line.event === 'retry') ? 'long pause: stream went on elsewhere' : 'long pause: at one server';
	}

	if (ended.verdict === 'left by caller') {
		const isPlaced = story.lines.some(line => line.event === 'placed');
		const before = isPlaced ? 'before its first event' : 'before it had a place';
		return `left by caller: ${ended.firstAfter === undefined ? before : 'after its first event'}`;
	}

	return `${ended.verdict}: ${ended.outcome}${spent}`;
}

const describers: Record<Verdict, (story: RequestStory, ended: EndedCall) => string> = {
	'in aim': (_story, ended) => `It was served as aimed at: ${describeFirst(ended)}${ended.longestPause === undefined || ended.pauseAim === undefined ? '' : `, ${describePause(ended)}`}.`,
	'late first': (story, ended) => `It was served late, ${describeFirst(ended)}: ${describeLate(story, ended)}.`,
	'long pause': (story, ended) => `It was served with a ${describePause(ended)}: ${describePauseCause(story)}.`,
	'late and long pause': (story, ended) => `It was served late, ${describeFirst(ended)}, with a ${describePause(ended)}: ${describeLate(story, ended)}; ${describePauseCause(story)}.`,
	refused: describeRefused,
	rejected: describeRefused,
	'broken off': describeBroken,
	'left by caller': describeLeft,
	failed: (story, ended) => `It failed with ${ended.status} (${ended.outcome}) after ${countTries(ended.sends)}: ${findReason(story, ended)}${describeNoRetry(story, ended)}.`,
};

function describeRefused(story: RequestStory, ended: EndedCall): string {
	const tries = ended.sends === 0 ? ', and ran nowhere' : ` after ${countTries(ended.sends)}`;
	return `It was refused with ${ended.status} (${ended.outcome})${tries}: ${findReason(story, ended)}${describeView(ended)}${describeRefusal(story)}.`;
}

/** How old the view was by which a route or key was not known. */
function describeView({verdict, configVersion, configAge}: EndedCall): string {
	return verdict === 'rejected' && configVersion !== undefined && configAge !== undefined
		? `; the node had version ${configVersion} of the configuration, and the store was last heard by a node ${formatTime(configAge)} before`
		: '';
}

function describeBroken(story: RequestStory, ended: EndedCall): string {
	const gone = ended.firstAfter === undefined ? 'before an event had gone out' : 'after events had gone out';
	return `Its answer was broken off ${gone} (${ended.outcome}): ${findReason(story, ended)}${describeNoRetry(story, ended)}.`;
}

function describeLeft(story: RequestStory, ended: EndedCall): string {
	const left = `Its caller left after ${formatTime(ended.took)}${describeLimit(ended)}`;
	if (ended.firstAfter === undefined) {
		return `${left}, before a first event: ${describePlace(story)}.`;
	}

	return ended.sinceLastEvent === undefined
		? `${left}, after a first event at ${formatTime(ended.firstAfter)} and a ${describePause(ended)}; the silence in which it left is no pause.`
		: `${left}, after a first event at ${formatTime(ended.firstAfter)}, in a silence of ${formatTime(ended.sinceLastEvent)}${prefixText('; ', findPlannedPause(story))}.`;
}

/** No line tells the end: the node that took it has gone, or its log is not among the files. */
function describeOpen({lines, around}: RequestStory): string {
	const taker = lines.map(line => findText(line, 'node')).find(node => node !== undefined) ?? lines[0].writer;
	const crash = lines.find(line => line.event === 'call_crashed');
	if (crash !== undefined) {
		return `The call failed inside node ${crash.writer}, which is a fault of the program: ${findText(crash, 'reason')}; report it.`;
	}

	const lost = around.find(line => (line.event === 'node_lost' && findText(line, 'node') === taker) || (line.event === 'started' && line.writer === taker));
	return lost === undefined
		? `No line tells its end: it goes on, or the log of node ${taker}, which took it, is not whole among the files; give that one too.`
		: `No line tells its end: node ${taker}, which took it, ended meanwhile (${lost.event}), and what it carried out was cut.`;
}

function describeFirst(ended: EndedCall): string {
	const what = ended.firstAfter === undefined ? 'the answer' : 'the first event';
	return `${what} after ${formatTime(ended.firstAfter ?? ended.took)}${ended.objective === undefined ? '' : ` of ${formatTime(ended.objective)}`}`;
}

function describePause({longestPause, pauseAim}: EndedCall): string {
	return `longest pause of ${formatTime(longestPause)}${pauseAim === undefined ? '' : ` where ${formatTime(pauseAim)} is aimed at`}`;
}

function describeLate(story: RequestStory, ended: EndedCall): string {
	return findLateCause(story, ended).text;
}

/** Why a first event came late: one of a few groups, and the sentence. */
function findLateCause(story: RequestStory, ended: EndedCall): {group: string; text: string} {
	const retries = story.lines.filter(line => line.event === 'retry');
	if (retries.length > 0) {
		return {
			group: 'tried again at another server',
			text: `it was tried again ${retries.length === 1 ? 'once' : `${retries.length} times`}, first since ${describeRetry(retries[0], story)}`,
		};
	}

	const passedOver = story.lines.find(line => line.event === 'decider_passed_over');
	if (passedOver !== undefined) {
		return {group: 'decider passed over', text: `deciding node ${findText(passedOver, 'node')} was passed over (${findText(passedOver, 'reason')})`};
	}

	const objective = ended.objective ?? 0;
	const placed = story.lines.findLast(line => line.event === 'placed');
	const waited = placed === undefined ? 0 : findNumber(placed, 'waited') ?? 0;
	if (waited > objective * namedShare) {
		return {group: 'waited for its place', text: `it waited ${formatTime(waited)} for its place${describeWait(story)}`};
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

function describePauseCause(story: RequestStory): string {
	const retry = story.lines.find(line => line.event === 'retry' && findNumber(line, 'lastEventId') !== undefined);
	return retry === undefined
		? findPlannedPause(story) ?? 'no line tells why; look for long reads placed at the same server at that time'
		: `the stream went on elsewhere, since ${describeRetry(retry, story)}`;
}

/** Which long read beside it explains a silence: the longest of those planned at its servers while it ran; undefined when there was none. */
function findPlannedPause({lines, around}: RequestStory): string | undefined {
	const servers = new Set(lines.flatMap(line => [findText(line, 'server'), ...listTexts(line, 'servers')]));
	const [from, until] = [lines[0].at, lines.at(-1)!.at];
	const reads = around.filter(line => findNumber(line, 'plannedPause') !== undefined && line.at <= until && line.at + (findNumber(line, 'expectedFirst') ?? 0) >= from);
	const [read] = reads.sort((left, right) => findNumber(right, 'plannedPause')! - findNumber(left, 'plannedPause')!);
	if (read === undefined) {
		return undefined;
	}

	const readers = listTexts(read, 'readers');
	const server = readers.find(reader => servers.has(reader));
	return `the pause was planned for request ${findText(read, 'request')}, of ${findNumber(read, 'promptTokens')} tokens, which server ${server} read with ${readers.length - 1} others`;
}

function describeRefusal(story: RequestStory): string {
	const wait = describeWait(story);
	const left = story.lines.findLast(line => line.event === 'retry');
	const refused = story.lines.findLast(line => line.event === 'refused');
	const inProgress = refused === undefined ? undefined : findNumber(refused, 'inProgress');
	return [
		...wait === '' ? [] : [`; it had waited${wait}`],
		...inProgress === undefined ? [] : [`; ${inProgress} plans of the service were in progress`],
		...left === undefined ? [] : [`; before, it was sent away from a server since ${describeRetry(left, story)}`],
		describeBudget(story),
	].join('');
}

/** Why a request that had been sent was not tried again, or what had become of its servers. */
function describeNoRetry(story: RequestStory, ended: EndedCall): string {
	if (ended.outcome === 'bound_passed_running') {
		return `; ${describePlace(story)}`;
	}

	const left = story.lines.findLast(line => line.event === 'retry');
	if (left !== undefined) {
		return `; it had left ${findText(left, 'after')} since ${findText(left, 'reason')}${describeFate(findText(left, 'after'), story)}${describeBudget(story)}`;
	}

	return `${describeFate(ended.servers.at(-1), story)}${describeBudget(story)}`;
}

function describeFate(server: string | undefined, story: RequestStory): string {
	const fate = describeServer(server, story);
	return fate === '' ? '' : `; ${fate}`;
}

function describeBudget({lines}: RequestStory): string {
	const refused = lines.find(line => line.event === 'retry_refused');
	if (refused !== undefined) {
		return `; the fleet's retry budget was spent (${findNumber(refused, 'spent')} retries of ${findNumber(refused, 'requests')} requests)`;
	}

	const notGranted = lines.find(line => line.event === 'retry_not_granted');
	return notGranted === undefined ? '' : `; ${notGranted.fields.answer === false ? 'the fleet had no retry left' : `deciding node ${findText(notGranted, 'node')} did not answer for a retry`}`;
}

/** Where it was placed last, and what befell the server. */
function describePlace(story: RequestStory): string {
	const placed = story.lines.findLast(line => line.event === 'placed');
	if (placed === undefined) {
		return `it had no place${describeWait(story)}`;
	}

	const server = findText(placed, 'server');
	const fate = describeServer(server, story);
	const times = `after ${formatTime(findNumber(placed, 'waited'))}, its first event expected ${formatTime(findNumber(placed, 'expectedFirst'))} later`;
	return `it was placed at ${server} ${times}${fate === '' ? '' : `; ${fate}`}`;
}

const waitReasons: Record<string, string> = {
	reading: 'servers were still read or others read first',
	writers: 'those who write would have paused too long',
	memory: 'no memory was free',
};

function describeWait({lines}: RequestStory): string {
	const waits = lines.find(line => line.event === 'waits');
	const reason = waits === undefined ? undefined : findText(waits, 'reason');
	return reason === undefined ? '' : `, since ${waitReasons[reason] ?? reason}`;
}

function describeRetry(retry: LogLine, story: RequestStory): string {
	const after = findText(retry, 'after');
	const fate = describeServer(after, story);
	return `${findText(retry, 'reason')} (${after}${fate === '' ? '' : `; ${fate}`})`;
}

const serverFates: Record<string, string> = {
	server_gone: 'its entry went at that time',
	server_doubtful: 'its entry went in an outage of the store',
	server_leaving: 'it was leaving',
	server_overwritten: 'another writer stood in its place',
	server_restarted: 'it started again',
};

function describeServer(server: string | undefined, {around}: RequestStory): string {
	const line = server === undefined ? undefined : around.find(candidate => findText(candidate, 'server') === server || findText(candidate, 'before') === server);
	return line === undefined ? '' : serverFates[line.event] ?? '';
}

function findReason({lines}: RequestStory, ended: EndedCall): string {
	return ended.reason ?? lines.map(line => findText(line, 'reason')).findLast(reason => reason !== undefined) ?? 'no line tells why';
}

function countTries(sends: number): string {
	return sends === 1 ? 'one try' : `${sends} tries`;
}

function describeLimit({callerWaits, took}: EndedCall): string {
	return callerWaits !== undefined && took >= callerWaits * ownLimitShare ? `, its own limit of ${formatTime(callerWaits)}` : '';
}

function prefixText(prefix: string, text: string | undefined): string {
	return text === undefined ? '' : prefix + text;
}
