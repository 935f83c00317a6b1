/** Collects the log lines of all nodes about one request and about the servers and nodes involved. */
import {
	findNumber, findText, listTexts, type LogLine,
} from './log-line.js';
import {findEndedCall, type EndedCall} from './ended-call.js';
import {WriterClocks} from './writer-clocks.js';

/** Events after which a server accepts no work or other amounts of it, or has restarted. */
const serverEvents = new Set(['server_gone', 'server_doubtful', 'server_leaving', 'server_overwritten', 'server_restarted', 'server_cold', 'server_warm']);

/** Events that change the state of a server or node, which may explain the outcome of a request. */
const fleetEvents = new Set([...serverEvents, 'node_lost', 'own_gap', 'decider_changed', 'stopping', 'stopped', 'started']);

/** Whether a line places a prefill that is distributed over several servers. */
function isDistributedPrefill(line: LogLine): boolean {
	return line.event === 'placed' && listTexts(line, 'readers').length > 0;
}

/** Time before and after a request within which events of its servers are included, in milliseconds: a crash is only detected after a time without messages, and entries expire after about two seconds. */
const relatedMargin = 2000;

/** Maximum number of lines kept about servers and nodes; the worst day of a large fleet has about ten thousand. */
const maxFleetLines = 200_000;

/** Log lines and outcome of one request. */
export type RequestTimeline = {
	request: string;
	/** Lines of all nodes about the request, in order. */
	lines: LogLine[];
	/** Lines about the servers and nodes involved, in order and without duplicates. */
	related: LogLine[];
	/** Outcome; undefined if no line states it. */
	ended: EndedCall | undefined;
};

/** Collects the timeline of one request from the lines of a day. */
export class TimelineCollector {
	readonly #request: string;
	readonly #lines: LogLine[] = [];
	readonly #fleet: LogLine[] = [];
	readonly #clocks = new WriterClocks();

	constructor(request: string) {
		this.#request = request;
	}

	/** Adds a line of any node. */
	add(line: LogLine): void {
		this.#clocks.add(line);
		if (findText(line, 'request') === this.#request) {
			this.#lines.push(line);
		} else if (isFleetLine(line) && this.#fleet.length < maxFleetLines) {
			this.#fleet.push(line);
		}
	}

	/** Returns the timeline; undefined if no line is about the request. */
	finish(): RequestTimeline | undefined {
		return this.#lines.length === 0 ? undefined : buildTimeline(this.#request, this.#sort(this.#lines), this.#sort(this.#fleet));
	}

	#sort(lines: LogLine[]): LogLine[] {
		return sortByTime(lines.map(line => ({...line, at: this.#clocks.estimateTime(line)})));
	}
}

/** Whether a line is about the state of a server or node, or places a distributed prefill. */
export function isFleetLine(line: LogLine): boolean {
	return fleetEvents.has(line.event) || isDistributedPrefill(line);
}

/** Builds the timeline of a request from its lines and those about the fleet, both in order. */
export function buildTimeline(request: string, lines: LogLine[], fleet: LogLine[]): RequestTimeline {
	const ended = lines.map(line => findEndedCall(line)).findLast(end => end !== undefined);
	return {
		request, lines, ended, related: listRelated(lines, fleet, ended),
	};
}

function listRelated(lines: LogLine[], fleet: LogLine[], ended: EndedCall | undefined): LogLine[] {
	const servers = new Set(lines.flatMap(line => [findText(line, 'server'), findText(line, 'after'), ...listTexts(line, 'servers')]));
	const nodes = new Set(lines.flatMap(line => [line.writer, findText(line, 'node') ?? line.writer]));
	const services = new Set(lines.map(line => findText(line, 'service')));
	const from = Math.min(lines[0].at, ...ended === undefined ? [] : [ended.at - ended.took]) - relatedMargin;
	// A request without a logged end may have run until its caller's timeout.
	const patience = ended === undefined ? Math.max(...lines.map(line => findNumber(line, 'patience') ?? 0)) : 0;
	const until = lines.at(-1)!.at + patience + relatedMargin;
	const seen = new Set<string>();
	return fleet.filter(line => {
		const what = findSubject(line, {servers, nodes, services});
		const key = `${line.event} ${what}`;
		if (what === undefined || line.at < from || line.at > until || seen.has(key)) {
			return false;
		}

		// Every node logs the event; only the first line is kept.
		seen.add(key);
		return true;
	});
}

/** Sorts lines by time; lines with equal times keep their order. */
export function sortByTime(lines: LogLine[]): LogLine[] {
	return [...lines].sort((left, right) => left.at - right.at);
}

/** Servers, nodes and services involved in a request. */
type RelatedNames = {servers: ReadonlySet<string | undefined>; nodes: ReadonlySet<string>; services: ReadonlySet<string | undefined>};

/** Returns the server, node or request that a fleet line is about; undefined if it is not related. */
function findSubject(line: LogLine, {servers, nodes, services}: RelatedNames): string | undefined {
	if (isDistributedPrefill(line)) {
		return listTexts(line, 'readers').some(server => servers.has(server)) ? findText(line, 'request') : undefined;
	}

	return serverEvents.has(line.event)
		? [findText(line, 'server'), findText(line, 'before')].find(server => server !== undefined && servers.has(server))
		: findNodeSubject(line, nodes, services);
}

function findNodeSubject(line: LogLine, nodes: ReadonlySet<string>, services: ReadonlySet<string | undefined>): string | undefined {
	if (line.event === 'node_lost') {
		const lost = findText(line, 'node');
		return lost !== undefined && nodes.has(lost) ? lost : undefined;
	}

	const service = findText(line, 'service');
	return nodes.has(line.writer) && (service === undefined || services.has(service)) ? line.writer : undefined;
}
