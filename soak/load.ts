/** Simulates callers: they resolve node addresses, reuse connections, send requests of each kind and verify the responses. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import seedrandom from 'seedrandom';
import {Agent, request as sendRequest, type Dispatcher} from 'undici';
import {formatCrashing, formatStream, formatText} from './answers.js';
import {
	formatAddedKey, formatAddedPath, type SoakFleet, type SoakNode,
} from './fleet.js';
import {pause} from './link.js';
import {keptVersions, type CallRecord, type RunRecords} from './records.js';

/** Mean time between two requests, in milliseconds. */
const meanGap = 9;

/** Time between two address lookups, in milliseconds: the lifetime of a lookup result. */
const resolveInterval = 1000;

/** Prompt sizes in tokens: short, long, and larger than the memory of one server. */
const promptSizes = [{tokens: 4000, share: 0.86}, {tokens: 60_000, share: 0.11}, {tokens: 330_000, share: 0.03}];

/** Share of callers that disconnect before the response. */
const leaveShare = 0.03;

/** Time after the deadline at which a caller gives up, in milliseconds; well past the bound, so that a stuck request is detected and the run still ends. */
const giveUpAfter = 3000;

/** Maximum size of a request body in bytes. */
const maxBodyBytes = 20_000;

/** Time after a change at which each node is sent a request for the added route, in milliseconds: just after the bound for the change. */
const askAddedAfter = 2350;

/** Polling interval for changes, in milliseconds. */
const changePoll = 25;

/** Time between two attempts of a crashing request, the share of its callers that disconnect early, and the time until they do; times in milliseconds. */
const crashingGap = 250;
const crashingLeaveShare = 0.4;
const crashingLeaveAfter = 60;

/** Error code of a node that rejects a request as crashing. */
const rejectedCode = '"ends_servers"';

/** A kind of request: its path, its share of the traffic, and its deadline in milliseconds. */
type CallShape = {kind: CallRecord['kind']; path: string; share: number; limit: number};

/** Requests for a route that a version has added; the path contains the version number. */
const addedShape: CallShape = {
	kind: 'added', path: '', share: 0.1, limit: 1500,
};

const shapes: CallShape[] = [
	{
		kind: 'stream', path: '/stream/', share: 0.5, limit: 5000,
	},
	{
		kind: 'once', path: '/once/', share: 0.2, limit: 1500,
	},
	{
		kind: 'again', path: '/again/', share: 0.1, limit: 1500,
	},
	{
		kind: 'version', path: '/turn/', share: 0.1, limit: 1500,
	},
	addedShape,
];

/** Generates the traffic of all callers of a run. */
export class Load {
	readonly #fleet: SoakFleet;
	readonly #records: RunRecords;
	readonly #random: () => number;
	readonly #agent = new Agent({connect: {timeout: 1000}, headersTimeout: 0, bodyTimeout: 0});
	readonly #inProgress = new Set<Promise<void>>();
	#addresses: string[] = [];
	#isOver = false;

	constructor(fleet: SoakFleet, records: RunRecords, seed: number) {
		this.#fleet = fleet;
		this.#records = records;
		this.#random = seedrandom(`load-${seed}`);
	}

	/** Sends requests until `stop` is called; resolves when the last request has ended. */
	async run(): Promise<void> {
		const asking = [this.#askAddresses(), this.#askEachForChanges()];
		while (!this.#isOver) {
			await pause(-Math.log(1 - this.#random()) * meanGap);
			const node = this.#pickNode();
			if (node !== undefined) {
				this.#inProgress.add(this.#call(node, this.#pickShape()));
			}
		}

		await Promise.all([...asking, ...this.#inProgress]);
		await this.#agent.destroy();
	}

	/** Sends a crashing request repeatedly for `duration` milliseconds, each time to a random node. */
	async repeatCrashing(name: string, duration: number): Promise<void> {
		const body = Buffer.from(formatCrashing(name));
		for (const end = Date.now() + duration; Date.now() < end && !this.#isOver;) {
			const node = this.#pickNode();
			if (node !== undefined) {
				this.#inProgress.add(this.#sendCrashing(node, body));
			}

			await pause(crashingGap);
		}
	}

	/** Stops sending requests. */
	stop(): void {
		this.#isOver = true;
	}

	/** Refreshes the node addresses; like real callers, it keeps the last result when a lookup fails. */
	async #askAddresses(): Promise<void> {
		while (!this.#isOver) {
			const {nodes} = this.#fleet;
			const node = nodes[Math.floor(this.#random() * nodes.length)];
			try {
				const answer = await sendRequest(`http://127.0.0.1:${node.ports.addresses}/v1/resolve?name=shop.example&region=r&zone=north`, {headersTimeout: 500});
				const {addresses} = await answer.body.json() as {addresses?: string[]};
				if (addresses !== undefined && addresses.length > 0) {
					this.#addresses = addresses;
				}
			} catch {
				// The node is down; the next lookup picks another node at random.
			}

			await pause(this.#addresses.length === 0 ? 50 : resolveInterval);
		}
	}

	/** Requests each added route from every node; random requests would rarely hit the short time in which a late node is detected. */
	async #askEachForChanges(): Promise<void> {
		let asked = 0;
		while (!this.#isOver) {
			for (const number of this.#listDueVersions(asked)) {
				asked = number;
				for (const node of this.#fleet.nodes) {
					this.#inProgress.add(this.#call(node, addedShape, number));
				}
			}

			await pause(changePoll);
		}
	}

	#listDueVersions(asked: number): number[] {
		const due = Date.now() - askAddedAfter;
		return this.#records.changes.flatMap(({at, version}) => version !== undefined && version.number > asked && at <= due ? [version.number] : []);
	}

	#pickNode(): SoakNode | undefined {
		const address = this.#addresses[Math.floor(this.#random() * this.#addresses.length)];
		return this.#fleet.nodes.find(node => address?.endsWith(`:${node.ports.callers}`));
	}

	#pickShape(): CallShape {
		let left = this.#random();
		return shapes.find(shape => {
			left -= shape.share;
			return left < 0;
		}) ?? shapes[0];
	}

	#pickTokens(): number {
		let left = this.#random();
		return promptSizes.find(size => {
			left -= size.share;
			return left < 0;
		})?.tokens ?? promptSizes[0].tokens;
	}

	/** Picks mostly recent versions that the store has accepted, and sometimes one whose route was removed. */
	#pickVersion(): number {
		const newest = this.#records.changes.findLast(({version}) => version !== undefined)?.version?.number ?? 1;
		return Math.max(1, newest - Math.floor((this.#random() ** 4) * (keptVersions + 3)));
	}

	async #call(node: SoakNode, shape: CallShape, addedBy = shape.kind === 'added' ? this.#pickVersion() : undefined): Promise<void> {
		const id = randomUUID();
		const body = Buffer.alloc(Math.floor(this.#random() * maxBodyBytes), id);
		const record: CallRecord = {
			id, kind: shape.kind, node: node.name, sentAt: Date.now(), endedAt: 0, status: 0, isComplete: false, limit: shape.limit, addedBy,
		};
		const leave = new AbortController();
		let hasLeft = false;
		if (this.#random() < leaveShare) {
			setTimeout(() => {
				hasLeft = true;
				leave.abort();
			}, this.#random() * 300);
		}

		const givingUp = setTimeout(() => {
			leave.abort();
		}, shape.limit + giveUpAfter);

		try {
			const answer = await sendRequest(`http://${node.callersLink.address}${record.addedBy === undefined ? shape.path : formatAddedPath(record.addedBy)}a`, {
				dispatcher: this.#agent, method: 'POST', body, headers: this.#formatHeaders(record, shape), signal: leave.signal,
			});
			record.status = answer.statusCode;
			const text = await answer.body.text();
			record.isComplete = true;
			checkAnswer(record, answer, text, formatText(id, body));
		} catch {
			// No complete response; the records of the servers show whether that is a violation.
		}

		clearTimeout(givingUp);
		record.endedAt = Date.now();
		if (!hasLeft) {
			this.#records.calls.push(record);
		}
	}

	/** Ignores the response: only the number of arrivals at servers is checked. */
	async #sendCrashing(node: SoakNode, body: Uint8Array): Promise<void> {
		const [shape] = shapes;
		const record: CallRecord = {
			id: randomUUID(), kind: shape.kind, node: node.name, sentAt: Date.now(), endedAt: 0, status: 0, isComplete: false, limit: shape.limit,
		};
		const timeLeft = this.#random() < crashingLeaveShare ? crashingLeaveAfter : shape.limit;
		try {
			const answer = await sendRequest(`http://${node.callersLink.address}${shape.path}a`, {
				dispatcher: this.#agent, method: 'POST', body, headers: this.#formatHeaders(record, shape), signal: AbortSignal.timeout(timeLeft),
			});
			await answer.body.dump();
		} catch {
			// Expected: the request crashes its server.
		}
	}

	#formatHeaders(record: CallRecord, shape: CallShape): Record<string, string> {
		return {
			host: 'shop.example',
			authorization: `Bearer ${record.addedBy === undefined ? 'secret-key' : formatAddedKey(record.addedBy)}`,
			'cresshook-attempt-id': record.id,
			'cresshook-deadline-ms': String(shape.limit),
			'x-soak-node': record.node,
			...(shape.kind === 'stream' ? {'cresshook-token-usage': `${this.#pickTokens()},200`} : {}),
		};
	}
}

/** Records the error in a complete response, if any, and the service that answered. */
function checkAnswer(record: CallRecord, answer: Dispatcher.ResponseData, text: string, expected: string): void {
	if (answer.statusCode !== 200) {
		record.wrong = text.includes(rejectedCode) ? 'it is rejected as a crashing request' : undefined;
		return;
	}

	if (answer.headers['cresshook-attempt-id'] !== record.id) {
		record.wrong = `it belongs to ${String(answer.headers['cresshook-attempt-id'])}`;
		return;
	}

	if (record.kind === 'stream') {
		record.wrong = text === formatStream(expected) ? undefined : `its ${text.length} bytes are not the whole stream`;
		return;
	}

	const [id, digest, service] = text.split(' ');
	record.service = service;
	record.wrong = `${id} ${digest}` === expected ? undefined : `it is "${text.slice(0, 80)}"`;
}
