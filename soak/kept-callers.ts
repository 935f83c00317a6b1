/** Callers that keep one connection each, and send the next request on it as soon as the last answer has ended, until the node closes it. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {Agent, request as sendRequest, type IncomingMessage} from 'node:http';
import {setImmediate} from 'node:timers/promises';
import seedrandom from 'seedrandom';
import {
	CallDrawer, checkAnswer, shapes, type DrawnCall,
} from './calls.js';
import type {SoakNode} from './fleet.js';
import {pause} from './link.js';
import type {RunRecords} from './records.js';

/** Time after the deadline at which a caller gives up, in milliseconds; well past the bound, so that a stuck request is detected and the run still ends. */
export const giveUpAfter = 3000;

/** Number of callers for each node. */
const callersPerNode = 1.5;

/** Share of their requests that are long streams, and the maximum number of events of these; one takes 35 ms. */
const longShare = 0.6;
const maxLongEvents = 85;

/** Time after which a caller that was refused a connection tries another node, in milliseconds. */
const refusedPause = 50;

/** Sends requests on kept connections. */
export class KeptCallers {
	readonly #records: RunRecords;
	readonly #random: () => number;
	readonly #drawer: CallDrawer;
	readonly #findNode: () => SoakNode | undefined;
	#isOver = false;

	/** `findNode` returns a node that takes new connections. */
	constructor(records: RunRecords, seed: number, findNode: () => SoakNode | undefined) {
		this.#records = records;
		this.#random = seedrandom(`kept-${seed}`);
		this.#drawer = new CallDrawer(records, this.#random);
		this.#findNode = findNode;
	}

	/** Sends requests until `stop` is called; resolves when the last request has ended. */
	async run(nodeCount: number): Promise<void> {
		await Promise.all(Array.from({length: Math.ceil(nodeCount * callersPerNode)}, async () => this.#runCaller()));
	}

	/** Stops sending requests. */
	stop(): void {
		this.#isOver = true;
	}

	async #runCaller(): Promise<void> {
		while (!this.#isOver) {
			const node = this.#findNode();
			await (node === undefined ? pause(refusedPause) : this.#useConnection(node));
		}
	}

	/** Uses one connection until the node closes it. */
	async #useConnection(node: SoakNode): Promise<void> {
		const agent = new Agent({keepAlive: true, maxSockets: 1});
		do {
			const isLong = this.#random() < longShare;
			const drawn = isLong
				? this.#drawer.draw(node.name, shapes[0], {events: 1 + Math.floor(this.#random() * maxLongEvents)})
				: this.#drawer.draw(node.name);
			await this.#send(node, agent, drawn);
			// The agent takes the connection back in the turn after the answer, unless the node closes it.
			await setImmediate();
		} while (!this.#isOver && Object.keys(agent.freeSockets).length > 0);

		agent.destroy();
	}

	async #send(node: SoakNode, agent: Agent, drawn: DrawnCall): Promise<void> {
		const {record, path, body, headers} = drawn;
		// Connects to the node itself: a link between would close the connection later than the process.
		const request = sendRequest({
			host: '127.0.0.1', port: node.ports.callers, agent, method: 'POST', path, headers: {...headers, 'content-length': body.length},
		});
		const givingUp = setTimeout(() => {
			request.destroy();
		}, record.limit + giveUpAfter);
		let isConnected = false;
		request.once('socket', socket => {
			isConnected = !socket.connecting;
			if (socket.connecting) {
				socket.once('connect', () => {
					isConnected = true;
				});
			}
		});
		request.end(body);
		try {
			const [answer] = await once(request, 'response') as [IncomingMessage];
			record.status = answer.statusCode ?? 0;
			const pieces = await answer.toArray() as Uint8Array[];
			const text = Buffer.concat(pieces).toString();
			record.isComplete = answer.complete;
			checkAnswer(drawn, {statusCode: record.status, headers: answer.headers}, text);
		} catch {
			// No complete response; the judge tells whether that is a violation.
		}

		clearTimeout(givingUp);
		record.endedAt = Date.now();
		if (isConnected) {
			// The first request may wait in the backlog of a listener that closes, and is never read then.
			this.#records.calls.push({...record, isKept: request.reusedSocket});
		} else {
			await pause(refusedPause);
		}
	}
}
