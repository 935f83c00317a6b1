/**
 * Client of an engine: OpenAI's completion API over HTTP with server-sent events,
 * plus resuming, cancelling and listing requests.
 */
import {Left, Right, type Either} from 'purify-ts';
import type {Dispatcher} from 'undici';
import * as z from 'zod';
import {
	type Clock, createTimeout, fetchAnswer, type RequestId,
} from '../common/index.js';
import {EventStreamHandler, type EngineEvent} from './event-stream.js';
import {classifyError, type BackendFailure} from './failure.js';

/** Data of the last event of a complete answer. */
export const finishMarker = '[DONE]';

const callTimeout = 2000;

/** Maximum size of a list of running requests, in bytes: some ten thousand ids. */
const maxListBytes = 1024 * 1024;

/** A completion to run. */
export type EngineCall = {
	url: string;
	path: '/v1/chat/completions' | '/v1/completions';
	requestId: RequestId;
	/** JSON text of the request. */
	body: string | Uint8Array;
	signal: AbortSignal;
};

type StreamOptions = Omit<Dispatcher.DispatchOptions, 'origin' | 'path'>;

const runningSchema = z.object({requests: z.array(z.object({id: z.string()}))});

/** Calls engines over persistent connections. */
export class EngineClient {
	readonly #dispatcher: Dispatcher;
	readonly #clock: Clock;

	constructor(dispatcher: Dispatcher, clock: Clock) {
		this.#dispatcher = dispatcher;
		this.#clock = clock;
	}

	/** Starts a completion. If the connection breaks, the events end early without an error. */
	async startCompletion(call: EngineCall): Promise<Either<BackendFailure, AsyncIterable<EngineEvent[]>>> {
		return this.#openStream(`${call.url}${call.path}`, {
			method: 'POST',
			headers: {'content-type': 'application/json', 'x-request-id': call.requestId},
			body: call.body,
		}, call.signal);
	}

	/** Resumes an answer after the last event received. */
	async resumeCompletion(url: string, requestId: RequestId, after: number, signal: AbortSignal): Promise<Either<BackendFailure, AsyncIterable<EngineEvent[]>>> {
		return this.#openStream(`${url}/v1/requests/${requestId}/events`, {
			method: 'GET',
			headers: {'last-event-id': String(after)},
		}, signal);
	}

	/** Cancels a request and frees its memory. `Right` confirms that the engine no longer runs it. */
	async cancel(url: string, requestId: RequestId): Promise<Either<BackendFailure, true>> {
		const answer = await this.#call('POST', `${url}/v1/requests/${requestId}/cancel`);
		return answer.map(() => true as const);
	}

	/** Lists the requests running on an engine. */
	async listRunning(url: string): Promise<Either<BackendFailure, RequestId[]>> {
		const answer = await this.#call('GET', `${url}/v1/requests`);
		return answer.chain(text => {
			const checked = runningSchema.safeParse(parseJson(text));
			return checked.success
				? Right(checked.data.requests.map(entry => entry.id as RequestId))
				: Left({kind: 'lost' as const, message: 'the engine sent a list of requests in an unknown format'});
		});
	}

	async #call(method: 'GET' | 'POST', url: string): Promise<Either<BackendFailure, string>> {
		const timeout = createTimeout(this.#clock, callTimeout);
		try {
			const {origin, pathname: path} = new URL(url);
			const {status, text} = await fetchAnswer(this.#dispatcher, {method, origin, path}, {signal: timeout.signal, maxBytes: maxListBytes});
			return status < 300 ? Right(text) : Left(classifyStatus(status, text));
		} catch (error) {
			return Left(classifyError(error));
		} finally {
			timeout.cancel();
		}
	}

	async #openStream(url: string, options: StreamOptions, signal: AbortSignal): Promise<Either<BackendFailure, AsyncIterable<EngineEvent[]>>> {
		const {origin, pathname} = new URL(url);
		const handler = new EventStreamHandler(signal);
		try {
			this.#dispatcher.dispatch({...options, origin, path: pathname}, handler);
			const opening = await handler.opened;
			return opening.status === 200 ? Right(handler) : Left(classifyStatus(opening.status, opening.text));
		} catch (error) {
			return Left(classifyError(error));
		}
	}
}

function classifyStatus(status: number, text: string): BackendFailure {
	const message = readRemoteMessage(text) ?? `the backend server answered ${status}`;
	if (status === 404 || status === 410) {
		return {kind: 'unknown_request', message, status};
	}

	if (status === 429 || status === 503) {
		return {kind: 'busy', message, status};
	}

	return {kind: status < 500 ? 'rejected' : 'lost', message, status};
}

function readRemoteMessage(text: string): string | undefined {
	try {
		return (JSON.parse(text) as {error?: {message?: string}}).error?.message;
	} catch {
		return undefined;
	}
}

/** Returns undefined when the text is not JSON. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
