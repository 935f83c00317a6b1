/** Gathers what the logs of all nodes say of one request, and of the servers and nodes it met. */
import {
	findNumber, findText, listTexts, type LogLine,
} from './log-line.js';
import {findEndedCall, type EndedCall} from './ended-call.js';
import {WriterClocks} from './writer-clocks.js';

/** Events that change what a server or a node is: they explain what befell a request there. */
const fleetEvents = new Set([
	'server_gone', 'server_doubtful', 'server_leaving', 'server_overwritten', 'server_restarted', 'node_lost', 'own_gap', 'decider_changed', 'stopping', 'stopped', 'started',
]);

/** Events that tell of the end of a server's life, or of its work. */
const serverEvents = new Set(['server_gone', 'server_doubtful', 'server_leaving', 'server_overwritten', 'server_restarted']);

/** Whether a line tells of a prompt that several servers read together. */
function isDistributedPrefill(line: LogLine): boolean {
	return line.event === 'placed' && listTexts(line, 'readers').length > 0;
}

/** Time around a request in which what befell its servers belongs to it, in milliseconds: a death is noticed by silence, and entries lapse after about two seconds. */
const relatedMargin = 2000;

/** Lines about the fleet that are kept at most: a large fleet's worst day has some ten thousand. */
const maxFleetLines = 200_000;

/** What is known of one request. */
export type RequestTimeline = {
	request: string;
	/** Its lines of all nodes, in order. */
	lines: LogLine[];
	/** Lines about the servers and nodes that it met, each told once, in order. */
	related: LogLine[];
	/** How it ended; undefined when no line tells. */
	ended: EndedCall | undefined;
};

/** Picks one request out of the lines of a day. */
export class TimelineCollector {
	readonly #request: string;
	readonly #lines: LogLine[] = [];
	readonly #fleet: LogLine[] = [];
	readonly #clocks = new WriterClocks();

	constructor(request: string) {
		this.#request = request;
	}

	/** Takes a line of any node. */
	add(line: LogLine): void {
		this.#clocks.add(line);
		if (findText(line, 'request') === this.#request) {
			this.#lines.push(line);
		} else if (isFleetLine(line) && this.#fleet.length < maxFleetLines) {
			this.#fleet.push(line);
		}
	}

	/** The timeline so far; undefined when nothing was said of the request. */
	finish(): RequestTimeline | undefined {
		return this.#lines.length === 0 ? undefined : buildTimeline(this.#request, this.#sort(this.#lines), this.#sort(this.#fleet));
	}

	#sort(lines: LogLine[]): LogLine[] {
		return sortByTime(lines.map(line => ({...line, at: this.#clocks.estimateTime(line)})));
	}
}

/** Whether a line tells what a server or a node has become, or what several servers read. */
export function isFleetLine(line: LogLine): boolean {
	return fleetEvents.has(line.event) || isDistributedPrefill(line);
}

/** Puts together what is known of a request from its lines and those about the fleet, both in order. */
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
	// A request without an end may have gone on for as long as its caller waits.
	const patience = ended === undefined ? Math.max(...lines.map(line => findNumber(line, 'patience') ?? 0)) : 0;
	const until = lines.at(-1)!.at + patience + relatedMargin;
	const seen = new Set<string>();
	return fleet.filter(line => {
		const what = findSubject(line, {servers, nodes, services});
		const key = `${line.event} ${what}`;
		if (what === undefined || line.at < from || line.at > until || seen.has(key)) {
			return false;
		}

		// Every node that hears of it writes it down; the first one is enough.
		seen.add(key);
		return true;
	});
}

/** Sorts lines by their time; those of one time stay as they were written. */
export function sortByTime(lines: LogLine[]): LogLine[] {
	return [...lines].sort((left, right) => left.at - right.at);
}

/** What a request met. */
type RelatedNames = {servers: ReadonlySet<string | undefined>; nodes: ReadonlySet<string>; services: ReadonlySet<string | undefined>};

/** What of the request's a line is about; undefined when it is about none of it. */
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
