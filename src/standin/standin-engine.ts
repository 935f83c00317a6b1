/**
 * A small stand-in for an engine: OpenAI's completion API, continuous batching
 * over a token memory, priorities, resume, cancel, a list of what runs, lagging
 * load, cache events, and orders with or without a fence.
 *
 * Its model: a step every `stepMilliseconds`; in each step up to the prefill rate
 * is read of prompts, in order of priority, and every request past its prompt
 * makes one token. Text is `t1 t2 t3 …`, so that a reader can see a lost token.
 */
import {createHash} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import {fastify, type FastifyInstance} from 'fastify';
import {waitFor, type Clock} from '../common/index.js';

/** How the stand-in behaves. */
export type StandinEngineOptions = {
	clock: Clock;
	/** Tokens of memory. */
	capacity: number;
	/** Prompt tokens read a second. */
	prefillRate: number;
	/** Milliseconds of one step. */
	stepMilliseconds: number;
	/** Least milliseconds between two tokens of a request; 0 makes one a step. */
	tokenInterval: number;
	/** Whether orders are refused whose fence is lower than the highest seen. */
	checksOrders: boolean;
	/** Milliseconds by which reported load lags. */
	loadLag: number;
	/** Milliseconds after which cache events are published. */
	cacheEventDelay: number;
};

/** Faults that tests switch on; each is off when absent. */
export type EngineFaults = {
	/** Refuse new work with 503. */
	refuse?: boolean;
	/** Cut the connection of an answer after this many events, once. */
	cutAfter?: number;
	/** Send a chunk of another request after this many events, once. */
	crossAfter?: number;
	/** Send every event twice. */
	double?: boolean;
	/** Leave out the event with this sequence number, once. */
	skip?: number;
	/** End without a finish marker, once. */
	loseMarker?: boolean;
	/** Take requests and never answer. */
	hang?: boolean;
	/** Do not know any request that is to be resumed. */
	forget?: boolean;
	/** Publish every second cache event only. */
	cacheGaps?: boolean;
};

/** A request that the engine holds. */
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
	/** Prompt tokens read so far. */
	read: number;
	made: number;
	/** Monotonic time before which it makes no further token. */
	nextTokenAt: number;
	first: number;
	events: string[];
	readers: Set<ServerResponse>;
	isRunning: boolean;
	isDone: boolean;
	order: number;
};

/** A published cache event. */
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

/** Finished requests kept for a resume. */
const mostKept = 1000;

/** A stand-in engine. */
export class StandinEngine {
	faults: EngineFaults = {};
	/** Requests taken in all. */
	taken = 0;
	/** Requests refused by the `refuse` fault. */
	refused = 0;
	/** Added to every token's text, so that an answer is long in bytes. */
	padding = '';
	/** Ids of the requests whose work was cancelled. */
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

	/** Tokens of memory held by requests. */
	get heldTokens(): number {
		return this.#listHeld().reduce((sum, request) => sum + countTokens(request), 0);
	}

	/** Bytes of answers written and not yet taken by the network: what slow readers hold up. */
	get unsentBytes(): number {
		return this.#listHeld().flatMap(request => [...request.readers]).reduce((sum, reader) => sum + reader.writableLength, 0);
	}

	/** Ids of the requests held, waiting or running. */
	get heldRequests(): string[] {
		return this.#listHeld().map(request => request.id);
	}

	/** Opens the stand-in on a port, 0 for a free one; returns its base URL. */
	async start(port = 0): Promise<string> {
		return this.#app.listen({port, host: '127.0.0.1'});
	}

	/** Closes the stand-in and every connection at once, as a killed process would. */
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
				const taken = this.#take(id, path.includes('chat'), JSON.parse(String(request.body)) as EngineBody);
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

	#take(id: string, isChat: boolean, body: EngineBody): EngineRequest | undefined {
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
			read: 0,
			made: 0,
			nextTokenAt: 0,
			first: countContinued(body),
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
		request.read = request.cachedTokens;
		this.#requests.set(id, request);
		this.#forgetOld();
		void this.#step();
		return request;
	}

	/** Finds how much of a prompt is cached and stores the rest; returns cached tokens. */
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
			this.#readPrompts();
			const now = this.#now();
			for (const request of this.#listHeld()) {
				if (request.isRunning && request.read >= request.promptTokens && request.nextTokenAt <= now && !this.faults.hang) {
					request.nextTokenAt = now + this.#options.tokenInterval;
					this.#makeToken(request);
				}
			}

			this.#noteLoad();
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

	#readPrompts(): void {
		let budget = this.#options.prefillRate * this.#options.stepMilliseconds / 1000;
		for (const request of this.#listHeld().filter(held => held.isRunning).sort(compareRequests)) {
			const read = Math.min(budget, request.promptTokens - request.read);
			request.read += read;
			budget -= read;
		}
	}

	#makeToken(request: EngineRequest): void {
		request.made++;
		const isLast = request.made >= request.outputTokens;
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
					completion_tokens: request.made,
					total_tokens: request.promptTokens + request.made,
					prompt_tokens_details: {cached_tokens: request.cachedTokens},
				},
			}));
		}

		this.#emit(request, '[DONE]');
		this.#finish(request);
	}

	#formatChunk(request: EngineRequest, index: number, isLast: boolean): Record<string, unknown> {
		const text = `t${request.first + request.made} ${this.padding}`;
		const finishReason = isLast ? 'length' : null;
		return request.isChat
			? {...formatHead(request), choices: [{index, delta: request.made === 1 ? {role: 'assistant', content: text} : {content: text}, finish_reason: finishReason}]}
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

	#noteLoad(): void {
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

	#forgetOld(): void {
		for (const [id, request] of this.#requests) {
			if (this.#requests.size <= mostKept) {
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

/** The tokens that a continued answer already has, so that the text goes on counting. */
function countContinued(body: EngineBody): number {
	const last = body.messages?.at(-1)?.content ?? body.prompt;
	const match = typeof last === 'string' ? /t(?<count>\d+) $/.exec(last) : undefined;
	return Number(match?.groups?.count ?? 0);
}
