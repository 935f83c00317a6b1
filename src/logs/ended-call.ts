/** How a call ended, by the last line about it, and what that brought. */
import {computeValue, lateValueShare} from '../planning/index.js';
import {
	findNumber, findText, listTexts, type LogLine,
} from './log-line.js';

/** How an ended call is judged. */
export type Verdict = 'in aim' | 'late first' | 'long pause' | 'late and long pause' | 'refused' | 'broken off' | 'left by caller' | 'failed' | 'rejected';

/** All verdicts, the good one first; `rejected` is what no answer was owed to. */
export const verdicts: Verdict[] = ['in aim', 'late first', 'long pause', 'late and long pause', 'refused', 'broken off', 'left by caller', 'failed', 'rejected'];

/** The end of a call. */
export type EndedCall = {
	request: string;
	/** When it ended, in milliseconds of the log's time. */
	at: number;
	/** The node that took it. */
	node: string;
	service: string | undefined;
	promptTokens: number;
	outcome: string;
	reason: string | undefined;
	status: number | undefined;
	sends: number;
	servers: string[];
	decidedBy: string | undefined;
	expectedFirst: number | undefined;
	firstAfter: number | undefined;
	objective: number | undefined;
	longestPause: number | undefined;
	pauseAim: number | undefined;
	/** From the last event to the end, when the answer was not whole. */
	sinceLastEvent: number | undefined;
	callerWaits: number | undefined;
	took: number;
	/** Version of the configuration by which it was judged, and for how long no node had heard the store by then, in milliseconds. */
	configVersion: number | undefined;
	configAge: number | undefined;
	verdict: Verdict;
	/** What an answer in aim is worth, and what was lost of it, in tokens. */
	value: number;
	lostValue: number;
};

/** Reads the end of a call from its last line; undefined for other lines. */
export function findEndedCall(line: LogLine): EndedCall | undefined {
	const request = findText(line, 'request');
	if (request === undefined || (line.event !== 'call_ended' && line.event !== 'call_refused')) {
		return undefined;
	}

	const facts = {
		request,
		at: line.at,
		node: line.writer,
		service: findText(line, 'service'),
		promptTokens: findNumber(line, 'promptTokens') ?? 0,
		outcome: findText(line, 'outcome') ?? findText(line, 'kind') ?? 'unknown',
		// A call that found no route or key has its reason as the message.
		reason: findText(line, 'reason') ?? (line.event === 'call_refused' ? findText(line, 'msg') : undefined),
		status: findNumber(line, 'status'),
		sends: findNumber(line, 'sends') ?? 0,
		servers: listTexts(line, 'servers'),
		decidedBy: findText(line, 'decidedBy'),
		expectedFirst: findNumber(line, 'expectedFirst'),
		firstAfter: findNumber(line, 'firstAfter'),
		objective: findNumber(line, 'objective'),
		longestPause: findNumber(line, 'longestPause'),
		pauseAim: findNumber(line, 'pauseAim'),
		sinceLastEvent: findNumber(line, 'sinceLastEvent'),
		callerWaits: findNumber(line, 'callerWaits'),
		took: findNumber(line, 'took') ?? 0,
		configVersion: findNumber(line, 'configVersion'),
		configAge: findNumber(line, 'configAge'),
	};
	const verdict = classifyCall(facts);
	const value = verdict === 'rejected' ? 0 : computeValue(facts.promptTokens);
	return {
		...facts, verdict, value, lostValue: value * findLostShare(verdict),
	};
}

/** A time is only judged where the line states what was aimed at. */
function classifyCall(call: Omit<EndedCall, 'verdict' | 'value' | 'lostValue'>): Verdict {
	if (call.outcome === 'whole') {
		const isLate = (call.firstAfter ?? 0) > (call.objective ?? Infinity);
		const hasLongPause = (call.longestPause ?? 0) > (call.pauseAim ?? Infinity);
		if (isLate) {
			return hasLongPause ? 'late and long pause' : 'late first';
		}

		return hasLongPause ? 'long pause' : 'in aim';
	}

	if (call.outcome === 'caller_gone') {
		return 'left by caller';
	}

	if (call.status === 0) {
		return 'broken off';
	}

	// What is wrong with a request itself costs nobody an answer that was owed.
	if (call.sends === 0 && call.status !== undefined && call.status >= 400 && call.status < 500) {
		return 'rejected';
	}

	return call.sends === 0 || call.status === 503 ? 'refused' : 'failed';
}

/** Share of its worth that an answer loses: a late one keeps a part. */
function findLostShare(verdict: Verdict): number {
	if (verdict === 'in aim' || verdict === 'rejected') {
		return 0;
	}

	return verdict === 'late first' || verdict === 'long pause' || verdict === 'late and long pause' ? 1 - lateValueShare : 1;
}
