/** Runs gateway nodes in real time with simulated model servers that work in passes by their declared figures. */
import {request as sendRequest, type IncomingMessage, type ServerResponse} from 'node:http';
import type {ServiceName} from '../../src/common/index.js';
import {PassJob, PassServer} from '../../src/replay/routed/index.js';
import {decodeConfig} from '../../platform/decode-config.js';
import {createConfig, GatewayFleet, waitUntil} from './gateways.js';
import {formatEvent, createAnswerHeaders, type ReceivedRequest} from './platform-standins.js';

/** Objective of the route for long prompts, in milliseconds; its callers tolerate four times as much silence. */
export const reviewObjective = 2200;
export const reviewSilence = 4 * reviewObjective;

/** Creates a configuration with an additional route for long prompts. */
function createReviewConfig(version: number): Record<string, unknown> {
	const [stream, ...others] = createConfig(version).routes as Array<Record<string, unknown>>;
	const review = {
		...stream, name: 'review', pathPrefix: '/review/', timeoutMs: 15_000, targetLatencyMs: reviewObjective, gap_aim_ms: 1000,
	};
	return createConfig(version, {routes: [{...stream, timeoutMs: 10_000}, review, ...others]});
}

/** Performance figures of the servers, as declared in the test configuration. */
export const engine = decodeConfig(createConfig(1)).services[0].engine!;

/** Silence after which callers of a stream leave, in milliseconds, as the platform specifies it for the route. */
export const longestSilence = 2000;

/** A stream as observed by its caller. Times in milliseconds, by the clock of the process. */
export type ObservedStream = {
	id: string;
	firstAt: number;
	lastAt: number;
	longestPause: number;
	events: number;
	/** `left` when the caller left after too long a silence. */
	outcome: 'whole' | 'left' | 'cut';
};

/** A caller's request, and the silence after which it leaves. */
export type StreamSpec = {path: string; silence: number; promptTokens: number; events: number};

/** One send of a request to a server. */
export type ObservedSend = {server: number; lastEventId: number; at: number; helpers: number};

let callCount = 0;

/** Gateway nodes and simulated servers. */
export class PassFleet {
	readonly nodes = new GatewayFleet();
	/** Sends of each request, in order. */
	readonly sends = new Map<string, ObservedSend[]>();
	readonly servers: PassServer[] = [];
	/** When a server became silent, by the clock of the process; it accepts connections but sends nothing after that. */
	readonly #silentSince = new Map<number, number>();
	readonly #timers = new Set<NodeJS.Timeout>();

	/** Starts nodes, and servers that take `pace` times as long as declared. */
	async start(nodes: number, servers: number, pace: number): Promise<void> {
		for (let index = 0; index < servers; index++) {
			const server = new PassServer(engine, (delay, run) => {
				this.#schedule(delay, run);
			});
			server.pace = pace;
			this.servers.push(server);
		}

		const runners = this.servers.map((_, index) => ({
			service: 'model',
			behaviour: (request: ReceivedRequest, response: ServerResponse) => {
				this.#serve(index, request, response);
			},
		}));
		await this.nodes.start({nodes, runners});
		this.nodes.store.put('config', 'main', createReviewConfig(2));
		await waitUntil(() => this.nodes.gateways.every(({state}) => state.configVersion === 2 && state.listServers('model' as ServiceName).length === servers));
		await waitUntil(() => this.nodes.gateways.every(gateway => gateway.listReadyNodes().length === nodes));
	}

	/** Stops everything. */
	async stop(): Promise<void> {
		for (const timer of this.#timers) {
			clearTimeout(timer);
		}

		await this.nodes.stop();
	}

	/** Makes a server silent permanently. */
	makeSilent(server: number): void {
		this.#silentSince.set(server, Date.now());
	}

	/** Opens a stream at a node; the caller leaves after the silence that its route tolerates. */
	async stream(id: string, node: number, {path, silence, promptTokens, events}: StreamSpec): Promise<ObservedStream> {
		const [host, port] = this.nodes.settings[node].listen.callers.split(':');
		const seen: ObservedStream = {
			id, firstAt: 0, lastAt: Date.now(), longestPause: 0, events: 0, outcome: 'cut',
		};
		return new Promise(resolve => {
			const request = sendRequest({
				host, port, path, method: 'POST', headers: describeCall(id, promptTokens, events),
			}, (response: IncomingMessage) => {
				response.on('data', chunk => {
					recordEvents(seen, String(chunk));
				});
				response.on('end', () => {
					finish('whole');
				});
				response.on('error', () => {
					finish('cut');
				});
			});
			const leaveTimer = setInterval(() => {
				if (Date.now() - seen.lastAt >= silence) {
					finish('left');
				}
			}, 5);
			const finish = (outcome: ObservedStream['outcome']) => {
				clearInterval(leaveTimer);
				request.destroy();
				resolve({...seen, outcome: outcome === 'whole' && seen.events < events ? 'cut' : outcome});
			};

			request.on('error', () => {
				finish('cut');
			});
			request.end();
		});
	}

	#schedule(delay: number, run: () => void): void {
		const timer = setTimeout(() => {
			this.#timers.delete(timer);
			run();
		}, delay);
		this.#timers.add(timer);
	}

	#serve(index: number, request: ReceivedRequest, response: ServerResponse): void {
		if (this.#silentSince.has(index)) {
			return;
		}

		if (request.url === '/v1/order') {
			response.writeHead(200).end(JSON.stringify({free: engine.memoryTokens}));
			return;
		}

		if (request.url === '/v1/report') {
			response.writeHead(200).end(JSON.stringify({tickets: []}));
			return;
		}

		this.#run(index, request, response);
	}

	#run(index: number, request: ReceivedRequest, response: ServerResponse): void {
		const id = request.headers['cresshook-attempt-id'] ?? '';
		const [promptTokens, events] = (request.headers['cresshook-token-usage'] ?? '').split(',').map(Number);
		const lastEventId = Number(request.headers['last-event-id'] ?? 0);
		const helpers = this.#findHelpers(request.headers.helpers);
		const seen = this.sends.get(id) ?? [];
		seen.push({
			server: index, lastEventId, at: Date.now(), helpers: helpers.length,
		});
		this.sends.set(id, seen);
		let next = lastEventId;
		const job = new PassJob({
			promptTokens, events: events - lastEventId, urgency: Number(request.headers.priority ?? 0), parts: helpers.length + 1,
		}, {
			onEvent: () => {
				if (!this.#silentSince.has(index)) {
					response.write(formatEvent(++next));
				}
			},
			onEnd: () => {
				if (!this.#silentSince.has(index)) {
					response.end();
				}
			},
			onLost() {
				response.destroy();
			},
		});
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		response.flushHeaders();
		response.once('close', () => {
			job.isOver = true;
		});
		this.servers[index].submit(job);
		for (const helper of helpers) {
			helper.help(job);
		}
	}

	#findHelpers(header = ''): PassServer[] {
		const addresses = header.split(',').map(helper => helper.trim().split('/')[0]).filter(address => address !== '');
		return addresses.map(address => this.servers[this.nodes.runners.findIndex(runner => runner.address === address)]);
	}
}

function describeCall(id: string, promptTokens: number, events: number): Record<string, string> {
	return {
		host: 'shop.example', authorization: 'Bearer secret-key', 'cresshook-attempt-id': id, 'cresshook-deadline-ms': '20000', 'cresshook-model': 'm',
		'cresshook-token-usage': `${promptTokens},${events}`, 'cresshook-prompt-prefix': `${(++callCount).toString(16).padStart(4, '0')}:${promptTokens}`,
	};
}

function recordEvents(seen: ObservedStream, text: string): void {
	const now = Date.now();
	const events = text.split('\n').filter(line => line.startsWith('id: ')).length;
	if (events === 0) {
		return;
	}

	if (seen.events === 0) {
		seen.firstAt = now;
	} else {
		seen.longestPause = Math.max(seen.longestPause, now - seen.lastAt);
	}

	seen.events += events;
	seen.lastAt = now;
}
