/** Reads the outcome of a call from its last log line and computes the value delivered. */
import {computeValue, lateValueShare} from '../planning/index.js';
import {
	findNumber, findText, listTexts, type LogLine,
} from './log-line.js';

/** Classification of an ended call. */
export type Verdict = 'in aim' | 'late first' | 'long pause' | 'late and long pause' | 'refused' | 'broken off' | 'left by caller' | 'failed' | 'rejected';

/** All verdicts, the successful one first; `rejected` calls count neither as served nor as lost. */
export const verdicts: Verdict[] = ['in aim', 'late first', 'long pause', 'late and long pause', 'refused', 'broken off', 'left by caller', 'failed', 'rejected'];

/** Outcome of a call. Durations are in milliseconds. */
export type EndedCall = {
	request: string;
	/** When it ended, in milliseconds of log time. */
	at: number;
	/** Node that accepted the call. */
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
	/** Time from the last event to the end, if the response was incomplete. */
	sinceLastEvent: number | undefined;
	callerWaits: number | undefined;
	took: number;
	/** Version of the configuration used for the call, and the time since any node had last heard from the store. */
	configVersion: number | undefined;
	configAge: number | undefined;
	verdict: Verdict;
	/** Value of a response that meets its objectives, and how much of it was lost, in tokens. */
	value: number;
	lostValue: number;
};

/** Reads the outcome of a call from its last line; undefined for other lines. */
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
		// For calls without a route or key, the reason is the log message.
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

/** Classifies a call; times are only compared where the line states an objective. */
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

	// An invalid request is no failure to serve.
	if (call.sends === 0 && call.status !== undefined && call.status >= 400 && call.status < 500) {
		return 'rejected';
	}

	return call.sends === 0 || call.status === 503 ? 'refused' : 'failed';
}

/** Share of its value that a response loses; a late one keeps a part. */
function findLostShare(verdict: Verdict): number {
	if (verdict === 'in aim' || verdict === 'rejected') {
		return 0;
	}

	return verdict === 'late first' || verdict === 'long pause' || verdict === 'late and long pause' ? 1 - lateValueShare : 1;
}
