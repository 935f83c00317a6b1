/** Explains the outcome of one request: its cause and the decisions in order. */
import {findCause} from './find-cause.js';
import {findText, type LogLine} from './log-line.js';
import {sortByTime, type RequestTimeline} from './request-timeline.js';

/** A decision about the request, or an event of a server or node involved in it. */
export type ExplainedStep = {
	/** Milliseconds since the request's first line. */
	after: number;
	node: string;
	event: string;
	/** Whether the event concerns a server or node rather than the request itself. */
	isAround: boolean;
	facts: Record<string, unknown>;
};

/** Explanation of a request. */
export type Explanation = {
	request: string;
	cause: string;
	verdict: string;
	/** Time of its first line: wall time, or milliseconds since the start of the log collector. */
	startedAt: string | number;
	steps: ExplainedStep[];
};

/** Fields shown first, in this order; the others follow. */
const leadingFields = ['outcome', 'status', 'kind', 'reason', 'server', 'after', 'waited', 'expectedFirst', 'firstAfter', 'objective', 'longestPause', 'pauseAim', 'took'];

/** Fields that are not shown, since every line has them or the step contains them. */
const omittedFields = new Set(['event', 'level', 'time', 'msg', 'request']);

/** Earliest time taken as wall time, in milliseconds; smaller values count from the start of the log collector. */
const minWallTime = Date.UTC(2000);

/** Derives the explanation from the timeline of a request. */
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

/** Formats an explanation as text: the cause, then one line for each step. */
export function formatExplanation({
	request, cause, startedAt, steps,
}: Explanation): string {
	const nodeWidth = Math.max(...steps.map(step => step.node.length));
	const eventWidth = Math.max(...steps.map(step => step.event.length));
	const rows = steps.map(step => `${String(step.after).padStart(7)} ms  ${step.node.padEnd(nodeWidth)}  ${step.isAround ? '·' : ' '} ${step.event.padEnd(eventWidth)}  ${formatFacts(step.facts)}`);
	const since = typeof startedAt === 'string' ? startedAt : `${startedAt} ms of the collector's time`;
	return [`${request}: ${cause}`, '', `Since ${since}; · marks what befell its servers and nodes:`, ...rows, ''].join('\n');
}

/** Formats the fields of a line as one string. */
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
