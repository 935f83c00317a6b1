/** Client of a plain service: forwards any HTTP call unchanged. */
import {Left, Right, type Either} from 'purify-ts';
import {request, type Dispatcher} from 'undici';
import {classifyError, type BackendFailure} from './failure.js';

/** A call to a plain service. */
export type PlainCall = {
	method: string;
	/** Full URL with query. */
	url: string;
	headers: Record<string, string>;
	body: Uint8Array | undefined;
	signal: AbortSignal;
};

/** The head of a response; reading its body throws if the connection breaks. */
export type PlainAnswer = {
	status: number;
	contentType: string | undefined;
	contentLength: number | undefined;
	/** The request id echoed by the service, if any. */
	requestId: string | undefined;
	body: AsyncIterable<Uint8Array>;
};

/** Calls plain services over persistent connections. */
export class PlainClient {
	readonly #dispatcher: Dispatcher;

	constructor(dispatcher: Dispatcher) {
		this.#dispatcher = dispatcher;
	}

	/** Makes one call, without retries. */
	async call(call: PlainCall): Promise<Either<BackendFailure, PlainAnswer>> {
		try {
			const response = await request(call.url, {
				method: call.method,
				headers: call.headers,
				body: call.body,
				signal: call.signal,
				dispatcher: this.#dispatcher,
			});
			const length = readHeader(response.headers['content-length']);
			return Right({
				status: response.statusCode,
				contentType: readHeader(response.headers['content-type']),
				contentLength: length === undefined ? undefined : Number(length),
				requestId: readHeader(response.headers['x-request-id']),
				body: response.body,
			});
		} catch (error) {
			return Left(classifyError(error));
		}
	}
}

function readHeader(value: string | string[] | undefined): string | undefined {
	return Array.isArray(value) ? value[0] : value;
}
