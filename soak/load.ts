/** Simulates callers: they resolve node addresses, reuse connections, send requests of each kind and verify the responses. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import seedrandom from 'seedrandom';
import {Agent, request as sendRequest} from 'undici';
import {formatCrashing} from './answers.js';
import {
	addedShape, CallDrawer, checkAnswer, shapes, type DrawnCall,
} from './calls.js';
import type {SoakFleet, SoakNode} from './fleet.js';
import {giveUpAfter, KeptCallers} from './kept-callers.js';
import {pause} from './link.js';
import type {CallRecord, RunRecords} from './records.js';

/** Mean time between two requests, in milliseconds. */
const meanGap = 9;

/** Time between two address lookups, in milliseconds: the lifetime of a lookup result. */
const resolveInterval = 1000;

/** Share of callers that disconnect before the response. */
const leaveShare = 0.03;

/** Time after a change at which each node is sent a request for the added route, in milliseconds: just after the bound for the change. */
const askAddedAfter = 2350;

/** Polling interval for changes, in milliseconds. */
const changePoll = 25;

/** Time between two attempts of a crashing request, the share of its callers that disconnect early, and the time until they do; times in milliseconds. */
const crashingGap = 250;
const crashingLeaveShare = 0.4;
const crashingLeaveAfter = 60;

/** Generates the traffic of all callers of a run. */
export class Load {
	readonly #fleet: SoakFleet;
	readonly #records: RunRecords;
	readonly #random: () => number;
	readonly #drawer: CallDrawer;
	readonly #kept: KeptCallers;
	readonly #agent = new Agent({connect: {timeout: 1000}, headersTimeout: 0, bodyTimeout: 0});
	readonly #inProgress = new Set<Promise<void>>();
	#addresses: string[] = [];
	#isOver = false;

	constructor(fleet: SoakFleet, records: RunRecords, seed: number) {
		this.#fleet = fleet;
		this.#records = records;
		this.#random = seedrandom(`load-${seed}`);
		this.#drawer = new CallDrawer(records, this.#random);
		this.#kept = new KeptCallers(records, seed, () => this.#pickNode());
	}

	/** Sends requests until `stop` is called; resolves when the last request has ended. */
	async run(): Promise<void> {
		const asking = [this.#askAddresses(), this.#askEachForChanges(), this.#kept.run(this.#fleet.nodes.length)];
		while (!this.#isOver) {
			await pause(-Math.log(1 - this.#random()) * meanGap);
			const node = this.#pickNode();
			if (node !== undefined) {
				this.#inProgress.add(this.#call(node, this.#drawer.draw(node.name)));
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
		this.#kept.stop();
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
					this.#inProgress.add(this.#call(node, this.#drawer.draw(node.name, addedShape, {addedBy: number})));
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

	async #call(node: SoakNode, drawn: DrawnCall): Promise<void> {
		const {record, path, body, headers} = drawn;
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
		}, record.limit + giveUpAfter);

		try {
			const answer = await sendRequest(`http://${node.callersLink.address}${path}`, {
				dispatcher: this.#agent, method: 'POST', body, headers, signal: leave.signal,
			});
			record.status = answer.statusCode;
			const text = await answer.body.text();
			record.isComplete = true;
			checkAnswer(drawn, answer, text);
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
				dispatcher: this.#agent, method: 'POST', body, headers: this.#drawer.formatHeaders(record), signal: AbortSignal.timeout(timeLeft),
			});
			await answer.body.dump();
		} catch {
			// Expected: the request crashes its server.
		}
	}
}
