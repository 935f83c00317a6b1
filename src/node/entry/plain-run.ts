/** Proxies one call to a plain service; it is retried only if it was not sent or is repeatable. */
import type {BackendFailure, PlainAnswer, PlainClient} from '../../backends/index.js';
import {
	createFailure, type BackendServerId, type Clock, type Failure, type Logger, type Metrics,
} from '../../common/index.js';
import type {Grant} from '../dispatch/index.js';
import {sendFailure, type ResponseSink} from './response-sink.js';
import {formatAttemptId, type CallerRequest, type RequestOutcome} from './caller-request.js';
import type {GrantClient, HeldGrant} from './grant-client.js';
import type {RequestCancellation} from './request-cancellation.js';
import type {RetryBudget} from './retry-budget.js';

/** Dependencies of a plain run. */
export type PlainRunParts = {
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
	plain: PlainClient;
	grants: GrantClient;
	retryBudget: RetryBudget;
};

/** Maximum number of backend servers tried for one call. */
const attemptLimit = 3;

type CallResult =
	| {kind: 'finished'}
	/** The call was not sent; any call may be retried on another backend server. */
	| {kind: 'unsent'; failure: Failure}
	/** The call was sent and may have run. */
	| {kind: 'lost'; failure: Failure};

/** Serves one call. */
export class PlainRun {
	readonly #parts: PlainRunParts;
	readonly #request: CallerRequest;
	readonly #sink: ResponseSink;
	readonly #cancellation: RequestCancellation;
	readonly #excluded: BackendServerId[] = [];
	#timeToFirstByte: number | undefined;

	constructor(parts: PlainRunParts, request: CallerRequest, sink: ResponseSink, cancellation: RequestCancellation) {
		this.#parts = parts;
		this.#request = request;
		this.#sink = sink;
		this.#cancellation = cancellation;
	}

	/** Serves the call; resolves after the sink has been ended. */
	async run(): Promise<RequestOutcome> {
		const failure = await this.#tryServers();
		if (failure !== undefined) {
			sendFailure(this.#sink, failure, false);
		}

		return {failure, timeToFirstToken: this.#timeToFirstByte};
	}

	async #tryServers(): Promise<Failure | undefined> {
		let mayHaveRun = false;
		for (let attempt = 1; ; attempt++) {
			const attemptId = formatAttemptId(this.#request.requestId, attempt);
			const obtained = await this.#parts.grants.obtain(this.#request, attemptId, this.#excluded, this.#cancellation.signal);
			if (obtained.isLeft()) {
				const failure = this.#cancellation.findFailure(mayHaveRun) ?? obtained.extract();
				return mayHaveRun ? {...failure, ran: 'maybe'} : failure;
			}

			const {grant, usableUntil} = obtained.extract() as HeldGrant;
			const result = await this.#callServer(grant, usableUntil);
			this.#parts.grants.release(grant);
			if (result.kind === 'finished') {
				return undefined;
			}

			mayHaveRun ||= result.kind === 'lost';
			if (this.#cancellation.signal.aborted) {
				return this.#cancellation.findFailure(mayHaveRun);
			}

			const mayRepeat = result.kind === 'unsent' || (this.#request.isRepeatable && !this.#sink.hasStarted);
			if (!mayRepeat || attempt >= attemptLimit || !this.#parts.retryBudget.takeRetry()) {
				return mayHaveRun && result.kind === 'unsent' ? {...result.failure, ran: 'maybe'} : result.failure;
			}

			this.#parts.metrics.incrementCounter('retries', {service: this.#request.service});
			this.#excluded.push(grant.backendServer);
		}
	}

	async #callServer(grant: Grant, usableUntil: number): Promise<CallResult> {
		if (this.#parts.clock.readMonotonic() > usableUntil) {
			return {kind: 'unsent', failure: createFailure('no_dispatcher', 'the grant expired before it arrived')};
		}

		const answer = await this.#parts.plain.call({
			method: this.#request.method,
			url: `${grant.url}${this.#request.path}`,
			headers: this.#request.headers,
			body: this.#request.body.length === 0 ? undefined : this.#request.body,
			signal: this.#cancellation.signal,
		});
		if (answer.isRight()) {
			return this.#forwardAnswer(answer.extract());
		}

		const failure = answer.extract() as BackendFailure;
		return failure.kind === 'unreached'
			? {kind: 'unsent', failure: createFailure('backend_busy', `the backend server could not be reached: ${failure.message}`)}
			: {kind: 'lost', failure: createFailure('backend_unconfirmed', 'the connection to the backend server was lost before it responded; the call may have run')};
	}

	async #forwardAnswer(answer: PlainAnswer): Promise<CallResult> {
		if (answer.requestId !== undefined && answer.requestId !== this.#request.requestId) {
			return {kind: 'lost', failure: createFailure('answer_crossed', 'the backend server answered another request; this one may have run', {ran: 'maybe'})};
		}

		try {
			for await (const chunk of answer.body) {
				this.#startOnce(answer);
				this.#sink.write(chunk);
				await this.#sink.waitForDrain();
			}
		} catch {
			return {kind: 'lost', failure: createFailure(this.#sink.hasStarted ? 'backend_lost' : 'backend_unconfirmed', 'the connection to the backend server was lost during the response')};
		}

		this.#startOnce(answer);
		this.#sink.end();
		return {kind: 'finished'};
	}

	#startOnce(answer: PlainAnswer): void {
		if (this.#sink.hasStarted) {
			return;
		}

		this.#timeToFirstByte = this.#parts.clock.readMonotonic() - this.#request.arrivedAt;
		const headers: Record<string, string> = {'x-request-id': this.#request.requestId, 'x-cresshook-ran': 'yes'};
		if (answer.contentType !== undefined) {
			headers['content-type'] = answer.contentType;
		}

		if (answer.contentLength !== undefined) {
			headers['content-length'] = String(answer.contentLength);
		}

		this.#sink.start({status: answer.status, headers});
	}
}
