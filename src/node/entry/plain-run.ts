/** Runs one call on a plain service: passed on as it is, repeated only when that can do no harm. */
import type {BackendFailure, PlainAnswer, PlainClient} from '../../backends/index.js';
import {
	createFailure, type BackendServerId, type Clock, type Failure, type Logger, type Metrics,
} from '../../common/index.js';
import type {Grant} from '../dispatch/index.js';
import {sendFailure, type AnswerSink} from './answer-sink.js';
import {formatAttemptId, type CallerRequest, type RequestOutcome} from './caller-request.js';
import type {GrantClient, HeldGrant} from './grant-client.js';
import type {RequestBound} from './request-bound.js';
import type {RetryBudget} from './retry-budget.js';

/** What runs need from the entry. */
export type PlainRunParts = {
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
	plain: PlainClient;
	grants: GrantClient;
	budget: RetryBudget;
};

const mostAttempts = 3;

type CallEnd =
	| {kind: 'finished'}
	/** Nothing was sent: free to go elsewhere. */
	| {kind: 'unsent'; failure: Failure}
	/** It may have run. */
	| {kind: 'lost'; failure: Failure};

/** One call being served. */
export class PlainRun {
	readonly #parts: PlainRunParts;
	readonly #request: CallerRequest;
	readonly #sink: AnswerSink;
	readonly #bound: RequestBound;
	readonly #excluded: BackendServerId[] = [];
	#firstByte: number | undefined;

	constructor(parts: PlainRunParts, request: CallerRequest, sink: AnswerSink, bound: RequestBound) {
		this.#parts = parts;
		this.#request = request;
		this.#sink = sink;
		this.#bound = bound;
	}

	/** Serves the call; the sink has been ended when this resolves. */
	async run(): Promise<RequestOutcome> {
		const failure = await this.#tryServers();
		if (failure !== undefined) {
			sendFailure(this.#sink, failure, false);
		}

		return {failure, firstToken: this.#firstByte};
	}

	async #tryServers(): Promise<Failure | undefined> {
		let hasRun = false;
		for (let attempt = 1; ; attempt++) {
			const attemptId = formatAttemptId(this.#request.requestId, attempt);
			const obtained = await this.#parts.grants.obtain(this.#request, attemptId, this.#excluded, this.#bound.signal);
			if (obtained.isLeft()) {
				const failure = this.#bound.findFailure(hasRun) ?? obtained.extract();
				return hasRun ? {...failure, ran: 'maybe'} : failure;
			}

			const {grant, usableUntil} = obtained.extract() as HeldGrant;
			const end = await this.#callServer(grant, usableUntil);
			this.#parts.grants.release(grant);
			if (end.kind === 'finished') {
				return undefined;
			}

			hasRun ||= end.kind === 'lost';
			if (this.#bound.signal.aborted) {
				return this.#bound.findFailure(hasRun);
			}

			const mayRepeat = end.kind === 'unsent' || (this.#request.isRepeatable && !this.#sink.hasStarted);
			if (!mayRepeat || attempt >= mostAttempts || !this.#parts.budget.takeRetry()) {
				return hasRun && end.kind === 'unsent' ? {...end.failure, ran: 'maybe'} : end.failure;
			}

			this.#parts.metrics.incrementCounter('retries', {service: this.#request.service});
			this.#excluded.push(grant.backendServer);
		}
	}

	async #callServer(grant: Grant, usableUntil: number): Promise<CallEnd> {
		if (this.#parts.clock.readMonotonic() > usableUntil) {
			return {kind: 'unsent', failure: createFailure('no_dispatcher', 'the grant arrived too late to be used')};
		}

		const answer = await this.#parts.plain.call({
			method: this.#request.method,
			url: `${grant.url}${this.#request.path}`,
			headers: this.#request.headers,
			body: this.#request.body.length === 0 ? undefined : this.#request.body,
			signal: this.#bound.signal,
		});
		if (answer.isRight()) {
			return this.#passAnswer(answer.extract());
		}

		const failure = answer.extract() as BackendFailure;
		return failure.kind === 'unreached'
			? {kind: 'unsent', failure: createFailure('backend_busy', `the backend server could not be reached: ${failure.message}`)}
			: {kind: 'lost', failure: createFailure('backend_unconfirmed', 'the backend server was lost before it answered; the call may have run')};
	}

	async #passAnswer(answer: PlainAnswer): Promise<CallEnd> {
		if (answer.requestId !== undefined && answer.requestId !== this.#request.requestId) {
			return {kind: 'lost', failure: createFailure('answer_crossed', 'the backend server answered another request; this one may have run', {ran: 'maybe'})};
		}

		try {
			for await (const piece of answer.body) {
				this.#startOnce(answer);
				this.#sink.write(piece);
				await this.#sink.waitForRoom();
			}
		} catch {
			return {kind: 'lost', failure: createFailure(this.#sink.hasStarted ? 'backend_lost' : 'backend_unconfirmed', 'the backend server was lost in the middle of the answer')};
		}

		this.#startOnce(answer);
		this.#sink.end();
		return {kind: 'finished'};
	}

	#startOnce(answer: PlainAnswer): void {
		if (this.#sink.hasStarted) {
			return;
		}

		this.#firstByte = this.#parts.clock.readMonotonic() - this.#request.arrived;
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
