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

/** Time around a request in which what befell its servers belongs to it, in milliseconds: a death is noticed by silence, and entries lapse after about two seconds. */
const margin = 2000;

/** Lines about the fleet that are kept at most: a large fleet's worst day has some ten thousand. */
const mostFleetLines = 200_000;

/** What is known of one request. */
export type RequestStory = {
	request: string;
	/** Its lines of all nodes, in order. */
	lines: LogLine[];
	/** Lines about the servers and nodes that it met, each told once, in order. */
	around: LogLine[];
	/** How it ended; undefined when no line tells. */
	ended: EndedCall | undefined;
};

/** Picks one request out of the lines of a day. */
export class StoryGatherer {
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
		} else if (fleetEvents.has(line.event) && this.#fleet.length < mostFleetLines) {
			this.#fleet.push(line);
		}
	}

	/** The story so far; undefined when nothing was said of the request. */
	finish(): RequestStory | undefined {
		const lines = this.#sort(this.#lines);
		if (lines.length === 0) {
			return undefined;
		}

		const ended = lines.map(line => findEndedCall(line)).findLast(end => end !== undefined);
		return {
			request: this.#request, lines, ended, around: this.#listAround(lines, ended),
		};
	}

	#sort(lines: LogLine[]): LogLine[] {
		return sortByTime(lines.map(line => ({...line, at: this.#clocks.estimateTime(line)})));
	}

	#listAround(lines: LogLine[], ended: EndedCall | undefined): LogLine[] {
		const servers = new Set(lines.flatMap(line => [findText(line, 'server'), findText(line, 'after'), ...listTexts(line, 'servers')]));
		const nodes = new Set(lines.flatMap(line => [line.writer, findText(line, 'node') ?? line.writer]));
		const from = Math.min(lines[0].at, ...ended === undefined ? [] : [ended.at - ended.took]) - margin;
		// A request without an end may have gone on for as long as its caller waits.
		const patience = ended === undefined ? Math.max(...lines.map(line => findNumber(line, 'patience') ?? 0)) : 0;
		const until = lines.at(-1)!.at + patience + margin;
		const seen = new Set<string>();
		return this.#sort(this.#fleet).filter(line => {
			const what = serverEvents.has(line.event)
				? [findText(line, 'server'), findText(line, 'before')].find(server => server !== undefined && servers.has(server))
				: findNode(line, nodes);
			const key = `${line.event} ${what}`;
			if (what === undefined || line.at < from || line.at > until || seen.has(key)) {
				return false;
			}

			// Every node that hears of it writes it down; the first one is enough.
			seen.add(key);
			return true;
		});
	}
}

/** Sorts lines by their time; those of one time stay as they were written. */
export function sortByTime(lines: LogLine[]): LogLine[] {
	return [...lines].sort((left, right) => left.at - right.at);
}

function findNode(line: LogLine, nodes: ReadonlySet<string>): string | undefined {
	if (line.event === 'node_lost') {
		const lost = findText(line, 'node');
		return lost !== undefined && nodes.has(lost) ? lost : undefined;
	}

	return nodes.has(line.writer) ? line.writer : undefined;
}
