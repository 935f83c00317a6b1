/**
 * Simulates an inference engine with OpenAI's completion API: continuous batching, priorities, resume, cancellation, delayed load reports, cache events and fenced orders.
 *
 * Each step prefills prompts by priority up to the prefill rate, and then every prefilled request generates one token.
 * The text is `t1 t2 t3 …`, so that a lost token shows.
 */
import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {fastify, type FastifyInstance} from 'fastify';
import {waitFor, type Clock} from '../common/index.js';

/** Capacity, speed and reporting delays of a stand-in engine. */
export type StandinEngineOptions = {
	clock: Clock;
	/** Memory in tokens. */
	capacity: number;
	/** Prompt tokens prefilled per second, over all requests. */
	prefillRate: number;
	/** Length of one step in milliseconds. */
	stepMilliseconds: number;
	/** Minimum time between two tokens of a request in milliseconds; 0 generates one token per step. */
	tokenInterval: number;
	/** Whether orders are rejected whose fence is lower than the highest one seen. */
	checksOrders: boolean;
	/** Delay of reported load in milliseconds. */
	loadLag: number;
	/** Delay before a cache event is published, in milliseconds. */
	cacheEventDelay: number;
};

/** Injected faults; each is off when absent. */
export type EngineFaults = {
	/** Reject new requests with 503. */
	refuse?: boolean;
	/** Close the connection of a stream after this number of events, once. */
	cutAfter?: number;
	/** Send an event with the id of another request after this number of events, once. */
	crossAfter?: number;
	/** Send every event twice. */
	double?: boolean;
	/** Omit the event with this sequence number, once. */
	skip?: number;
	/** End a stream without `[DONE]`, once. */
	loseMarker?: boolean;
	/** Accept requests and never generate a token. */
	hang?: boolean;
	/** Answer every resume with 404. */
	forget?: boolean;
	/** Drop every cache event with an even sequence number. */
	cacheGaps?: boolean;
};

/** A request that waits, runs, or is finished and can still be resumed. */
type EngineRequest = {
	id: string;
	isChat: boolean;
	model: string;
	priority: number;
	promptTokens: number;
	cachedTokens: number;
	outputTokens: number;
	choices: number;
	wantsUsage: boolean;
	/** Prompt tokens that are cached or already prefilled. */
	prefilledTokens: number;
	generatedTokens: number;
	/** Earliest monotonic time of the next token, in milliseconds. */
	nextTokenAt: number;
	/** Tokens that the continued answer already has; numbering goes on from there. */
	continuedTokens: number;
	events: string[];
	readers: Set<ServerResponse>;
	isRunning: boolean;
	isDone: boolean;
	/** Order of arrival, which breaks ties of priority. */
	order: number;
};

/** A cache event, visible from `publishedAt` on (monotonic milliseconds). */
type CacheEvent = {sequence: number; block: string; kind: 'stored' | 'removed'; publishedAt: number};

type EngineBody = {
	model: string;
	messages?: Array<{content?: unknown}>;
	prompt?: unknown;
	max_tokens?: number;
	max_completion_tokens?: number;
	n?: number;
	priority?: number;
	stream_options?: {include_usage?: boolean};
};

const defaultOptions: Omit<StandinEngineOptions, 'clock'> = {
	capacity: 100_000,
	prefillRate: 200_000,
	stepMilliseconds: 20,
	tokenInterval: 0,
	checksOrders: true,
	loadLag: 500,
	cacheEventDelay: 200,
};
const bytesPerToken = 4;
const blockTokens = 256;
const defaultOutput = 16;
const bodyLimit = 128 * 1_048_576;

/** Requests kept before finished ones, which could still be resumed, are removed. */
const maxFinishedRequests = 1000;

/** A simulated inference engine on a loopback port. */
export class StandinEngine {
	faults: EngineFaults = {};
	/** Total number of accepted requests. */
	taken = 0;
	/** Number of requests rejected by the `refuse` fault. */
	refused = 0;
	/** Appended to the text of every token, to make answers large in bytes. */
	padding = '';
	/** Ids of the requests cancelled before they finished. */
	readonly cancelled: string[] = [];
	readonly #options: StandinEngineOptions;
	readonly #app: FastifyInstance = fastify({bodyLimit, forceCloseConnections: true, keepAliveTimeout: 60_000});
	readonly #requests = new Map<string, EngineRequest>();
	readonly #cache = new Set<string>();
	readonly #cacheEvents: CacheEvent[] = [];
	readonly #loadHistory: Array<{at: number; held: number; waiting: number}> = [];
	#highestFence = 0;
	#isStepping = false;
	#isClosed = false;
	#order = 0;

	constructor(options: Partial<StandinEngineOptions> & {clock: Clock}) {
		this.#options = {...defaultOptions, ...options};
		this.#app.addContentTypeParser('application/json', {parseAs: 'buffer'}, (_request, body, done) => {
			done(null, body);
		});
		this.#addRoutes();
	}

	/** Memory reserved by waiting and running requests, in tokens. */
	get heldTokens(): number {
		return this.#listHeld().reduce((sum, request) => sum + countTokens(request), 0);
	}

	/** Bytes of answers still buffered because their readers are slow. */
	get unsentBytes(): number {
		return this.#listHeld().flatMap(request => [...request.readers]).reduce((sum, reader) => sum + reader.writableLength, 0);
	}

	/** Ids of the waiting and running requests. */
	get heldRequests(): string[] {
		return this.#listHeld().map(request => request.id);
	}

	/** Listens on a loopback port (0 picks a free one) and returns the base URL. */
	async start(port = 0): Promise<string> {
		return this.#app.listen({port, host: '127.0.0.1'});
	}

	/** Stops listening and drops every connection, as a killed process would. */
	async stop(): Promise<void> {
		this.#isClosed = true;
		for (const request of this.#requests.values()) {
			for (const reader of request.readers) {
				reader.destroy();
			}
		}

		await this.#app.close();
	}

	#addRoutes(): void {
		for (const path of ['/v1/chat/completions', '/v1/completions']) {
			this.#app.post(path, async (request, reply) => {
				if (this.faults.refuse) {
					this.refused++;
					return reply.code(503).send({error: {message: 'the engine takes no work'}});
				}

				const id = String(request.headers['x-request-id']);
				const taken = this.#acceptRequest(id, path.includes('chat'), JSON.parse(String(request.body)) as EngineBody);
				if (taken === undefined) {
					return reply.code(400).send({error: {message: 'the prompt is longer than the memory of this engine'}});
				}

				void reply.hijack();
				this.#stream(taken, 0, reply.raw);
			});
		}

		this.#app.get<{Params: {id: string}}>('/v1/requests/:id/events', async (request, reply) => {
			const known = this.faults.forget ? undefined : this.#requests.get(request.params.id);
			if (known === undefined) {
				return reply.code(404).send({error: {message: 'unknown request'}});
			}

			void reply.hijack();
			this.#stream(known, Number(request.headers['last-event-id'] ?? 0), reply.raw);
		});
		this.#app.post<{Params: {id: string}}>('/v1/requests/:id/cancel', async (request, reply) => this.#cancel(request.params.id)
			? {state: 'cancelled'}
			: reply.code(404).send({error: {message: 'unknown request'}}));
		this.#app.get('/v1/requests', async () => ({
			requests: this.#listHeld().map(request => ({id: request.id, tokens: countTokens(request), state: request.isRunning ? 'running' : 'waiting'})),
		}));
		this.#app.get('/v1/load', async () => this.#readLoad());
		this.#app.get<{Querystring: {after?: string}}>('/v1/cache/events', async request => ({
			events: this.#cacheEvents.filter(event => event.sequence > Number(request.query.after ?? 0) && event.publishedAt <= this.#now()),
		}));
		this.#app.post('/v1/orders', async (request, reply) => {
			const {fence} = JSON.parse(String(request.body)) as {fence: number};
			if (this.#options.checksOrders && fence < this.#highestFence) {
				return reply.code(409).send({error: {message: 'an order with a higher fence has been taken'}, fence: this.#highestFence});
			}

			this.#highestFence = Math.max(this.#highestFence, fence);
			return {state: 'accepted'};
		});
	}

	#now(): number {
		return this.#options.clock.readMonotonic();
	}

	#listHeld(): EngineRequest[] {
		return [...this.#requests.values()].filter(request => !request.isDone);
	}

	#acceptRequest(id: string, isChat: boolean, body: EngineBody): EngineRequest | undefined {
		const known = this.#requests.get(id);
		if (known !== undefined) {
			return known;
		}

		const text = JSON.stringify(body.messages ?? body.prompt ?? '');
		const promptTokens = Math.max(1, Math.ceil(text.length / bytesPerToken));
		const request: EngineRequest = {
			id,
			isChat,
			model: body.model,
			priority: body.priority ?? 0,
			promptTokens,
			cachedTokens: this.#useCache(text),
			outputTokens: body.max_completion_tokens ?? body.max_tokens ?? defaultOutput,
			choices: body.n ?? 1,
			wantsUsage: body.stream_options?.include_usage ?? false,
			prefilledTokens: 0,
			generatedTokens: 0,
			nextTokenAt: 0,
			continuedTokens: countContinued(body),
			events: [],
			readers: new Set(),
			isRunning: false,
			isDone: false,
			order: this.#order++,
		};
		if (countTokens(request) > this.#options.capacity) {
			return undefined;
		}

		this.taken++;
		request.prefilledTokens = request.cachedTokens;
		this.#requests.set(id, request);
		this.#removeFinished();
		void this.#step();
		return request;
	}

	/** Looks up the cached prefix of a prompt, caches the remaining blocks, and returns the number of cached tokens. */
	#useCache(text: string): number {
		const blockBytes = blockTokens * bytesPerToken;
		const hash = createHash('sha256');
		let cached = 0;
		let isHit = true;
		for (let start = 0; start + blockBytes <= text.length; start += blockBytes) {
			hash.update(text.slice(start, start + blockBytes));
			const block = hash.copy().digest('hex').slice(0, 16);
			isHit &&= this.#cache.has(block);
			if (isHit) {
				cached += blockTokens;
			} else {
				this.#cache.add(block);
				this.#publish(block);
			}
		}

		return cached;
	}

	#publish(block: string): void {
		const sequence = (this.#cacheEvents.at(-1)?.sequence ?? 0) + 1;
		if (this.faults.cacheGaps && sequence % 2 === 0) {
			return;
		}

		this.#cacheEvents.push({
			sequence, block, kind: 'stored', publishedAt: this.#now() + this.#options.cacheEventDelay,
		});
	}

	async #step(): Promise<void> {
		if (this.#isStepping) {
			return;
		}

		this.#isStepping = true;
		while (!this.#isClosed && this.#listHeld().length > 0) {
			await waitFor(this.#options.clock, this.#options.stepMilliseconds);
			this.#admitWaiting();
			this.#prefillPrompts();
			const now = this.#now();
			for (const request of this.#listHeld()) {
				if (request.isRunning && request.prefilledTokens >= request.promptTokens && request.nextTokenAt <= now && !this.faults.hang) {
					request.nextTokenAt = now + this.#options.tokenInterval;
					this.#generateToken(request);
				}
			}

			this.#recordLoad();
		}

		this.#isStepping = false;
	}

	#admitWaiting(): void {
		let free = this.#options.capacity - this.#listHeld().filter(request => request.isRunning).reduce((sum, request) => sum + countTokens(request), 0);
		const waiting = this.#listHeld().filter(request => !request.isRunning).sort(compareRequests);
		for (const request of waiting) {
			if (countTokens(request) <= free) {
				request.isRunning = true;
				free -= countTokens(request);
			}
		}
	}

	#prefillPrompts(): void {
		let budget = this.#options.prefillRate * this.#options.stepMilliseconds / 1000;
		for (const request of this.#listHeld().filter(held => held.isRunning).sort(compareRequests)) {
			const tokens = Math.min(budget, request.promptTokens - request.prefilledTokens);
			request.prefilledTokens += tokens;
			budget -= tokens;
		}
	}

	#generateToken(request: EngineRequest): void {
		request.generatedTokens++;
		const isLast = request.generatedTokens >= request.outputTokens;
		for (let index = 0; index < request.choices; index++) {
			this.#emit(request, JSON.stringify(this.#formatChunk(request, index, isLast)));
		}

		if (!isLast) {
			return;
		}

		if (request.wantsUsage) {
			this.#emit(request, JSON.stringify({
				...formatHead(request),
				choices: [],
				usage: {
					prompt_tokens: request.promptTokens,
					completion_tokens: request.generatedTokens,
					total_tokens: request.promptTokens + request.generatedTokens,
					prompt_tokens_details: {cached_tokens: request.cachedTokens},
				},
			}));
		}

		this.#emit(request, '[DONE]');
		this.#finish(request);
	}

	#formatChunk(request: EngineRequest, index: number, isLast: boolean): Record<string, unknown> {
		const text = `t${request.continuedTokens + request.generatedTokens} ${this.padding}`;
		const finishReason = isLast ? 'length' : null;
		return request.isChat
			? {...formatHead(request), choices: [{index, delta: request.generatedTokens === 1 ? {role: 'assistant', content: text} : {content: text}, finish_reason: finishReason}]}
			: {...formatHead(request), choices: [{index, text, finish_reason: finishReason}]};
	}

	#emit(request: EngineRequest, data: string): void {
		request.events.push(data);
		for (const reader of request.readers) {
			this.#send(request, reader, request.events.length);
		}
	}

	#finish(request: EngineRequest): void {
		request.isDone = true;
		for (const reader of request.readers) {
			reader.end();
		}

		request.readers.clear();
	}

	#stream(request: EngineRequest, after: number, response: ServerResponse): void {
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
		response.once('close', () => {
			request.readers.delete(response);
		});
		request.readers.add(response);
		for (let sequence = after + 1; sequence <= request.events.length; sequence++) {
			this.#send(request, response, sequence);
		}

		if (request.isDone) {
			request.readers.delete(response);
			response.end();
		}
	}

	#send(request: EngineRequest, response: ServerResponse, sequence: number): void {
		const {faults} = this;
		const data = request.events[sequence - 1];
		if (faults.skip === sequence) {
			faults.skip = undefined;
			return;
		}

		if (faults.loseMarker && data === '[DONE]') {
			faults.loseMarker = false;
			return;
		}

		if (faults.crossAfter !== undefined && sequence > faults.crossAfter) {
			faults.crossAfter = undefined;
			response.write(`id: ${sequence}\ndata: ${data.replaceAll(request.id, 'another')}\n\n`);
			return;
		}

		const event = `id: ${sequence}\ndata: ${data}\n\n`;
		response.write(faults.double ? event + event : event);
		if (faults.cutAfter !== undefined && sequence >= faults.cutAfter) {
			faults.cutAfter = undefined;
			request.readers.delete(response);
			response.destroy();
		}
	}

	#cancel(id: string): boolean {
		const request = this.#requests.get(id);
		if (request === undefined) {
			return false;
		}

		if (!request.isDone) {
			this.cancelled.push(id);
			this.#finish(request);
		}

		return true;
	}

	#recordLoad(): void {
		this.#loadHistory.push({at: this.#now(), held: this.heldTokens, waiting: this.#listHeld().filter(request => !request.isRunning).length});
		while (this.#loadHistory.length > 1 && this.#loadHistory[1].at <= this.#now() - this.#options.loadLag) {
			this.#loadHistory.shift();
		}
	}

	#readLoad(): {capacity: number; heldTokens: number; waiting: number; measuredAt: number} {
		const oldest = this.#loadHistory[0] as {at: number; held: number; waiting: number} | undefined;
		return {
			capacity: this.#options.capacity, heldTokens: oldest?.held ?? 0, waiting: oldest?.waiting ?? 0, measuredAt: oldest?.at ?? this.#now(),
		};
	}

	#removeFinished(): void {
		for (const [id, request] of this.#requests) {
			if (this.#requests.size <= maxFinishedRequests) {
				return;
			}

			if (request.isDone) {
				this.#requests.delete(id);
			}
		}
	}
}

function countTokens(request: EngineRequest): number {
	return request.promptTokens + (request.outputTokens * request.choices);
}

function compareRequests(left: EngineRequest, right: EngineRequest): number {
	return left.priority - right.priority || left.order - right.order;
}

function formatHead(request: EngineRequest): Record<string, unknown> {
	return {
		id: `${request.isChat ? 'chatcmpl' : 'cmpl'}-${request.id}`,
		object: request.isChat ? 'chat.completion.chunk' : 'text_completion',
		created: 0,
		model: request.model,
	};
}

/** Number of the last token in the prompt, so that a continued answer goes on from it; 0 for a new answer. */
function countContinued(body: EngineBody): number {
	const last = body.messages?.at(-1)?.content ?? body.prompt;
	const match = typeof last === 'string' ? /t(?<count>\d+) $/.exec(last) : undefined;
	return Number(match?.groups?.count ?? 0);
}
