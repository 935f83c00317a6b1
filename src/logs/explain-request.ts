/** Explains one request: its decisions in order, and its cause. Pure. */
import {findCause} from './find-cause.js';
import {findText, type LogLine} from './log-line.js';
import {sortByTime, type RequestTimeline} from './request-timeline.js';

/** One decision about the request, or what befell a server or node it met. */
export type ExplainedStep = {
	/** Milliseconds since the request's first line. */
	after: number;
	node: string;
	event: string;
	/** Whether it is about a server or node, not the request itself. */
	isAround: boolean;
	facts: Record<string, unknown>;
};

/** A request explained. */
export type Explanation = {
	request: string;
	cause: string;
	verdict: string;
	/** Time of its first line as the log has it: wall time, or milliseconds of the collector's. */
	startedAt: string | number;
	steps: ExplainedStep[];
};

/** Facts that are told first, in this order; the rest of a line follows. */
const leadingFields = ['outcome', 'status', 'kind', 'reason', 'server', 'after', 'waited', 'expectedFirst', 'firstAfter', 'objective', 'longestPause', 'pauseAim', 'took'];

/** Fields that every line has or that the step tells already. */
const omittedFields = new Set(['event', 'level', 'time', 'msg', 'request']);

/** Least time that counts as one of the wall, in milliseconds: collectors count from their start. */
const minWallTime = Date.UTC(2000);

/** Explains the timeline of a request. */
export function describeRequest(timeline: RequestTimeline): Explanation {
	const [first] = timeline.lines;
	const related = new Set(timeline.related);
	return {
		request: timeline.request,
		cause: findCause(timeline),
		verdict: timeline.ended?.verdict ?? 'no end known',
		startedAt: first.at >= minWallTime ? new Date(first.at).toISOString() : Math.round(first.at),
		steps: sortByTime([...timeline.lines, ...timeline.related]).map(line => ({
			after: Math.round(line.at - first.at),
			node: line.writer,
			event: line.event,
			isAround: related.has(line),
			facts: pickFacts(line),
		})),
	};
}

/** Formats an explanation as text: the cause, then a line each step. */
export function formatExplanation({
	request, cause, startedAt, steps,
}: Explanation): string {
	const nodeWidth = Math.max(...steps.map(step => step.node.length));
	const eventWidth = Math.max(...steps.map(step => step.event.length));
	const rows = steps.map(step => `${String(step.after).padStart(7)} ms  ${step.node.padEnd(nodeWidth)}  ${step.isAround ? '·' : ' '} ${step.event.padEnd(eventWidth)}  ${formatFacts(step.facts)}`);
	const since = typeof startedAt === 'string' ? startedAt : `${startedAt} ms of the collector's time`;
	return [`${request}: ${cause}`, '', `Since ${since}; · marks what befell its servers and nodes:`, ...rows, ''].join('\n');
}

/** The facts of a line as one text. */
export function listFacts(line: LogLine): string {
	return formatFacts(pickFacts(line));
}

function pickFacts(line: LogLine): Record<string, unknown> {
	const shown = Object.entries(line.fields).filter(([name, value]) => !omittedFields.has(name) && value !== undefined && value !== null);
	if (findText(line, 'reason') === undefined && line.event === 'call_refused') {
		shown.push(['reason', line.fields.msg]);
	}

	const findRank = (name: string) => leadingFields.includes(name) ? leadingFields.indexOf(name) : leadingFields.length;
	return Object.fromEntries(shown.sort(([left], [right]) => findRank(left) - findRank(right)));
}

function formatFacts(facts: Record<string, unknown>): string {
	return Object.entries(facts).map(([name, value]) => `${name} ${typeof value === 'string' ? value : JSON.stringify(value)}`).join(', ');
}
