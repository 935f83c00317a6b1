/**
 * Runs one completion from admission to its last token.
 *
 * A broken stream is resumed on the same engine. If the engine is lost, a repeatable request is retried on another
 * engine, or continued there from the text delivered so far if the service allows it; otherwise it fails.
 */
import {Right, type Either} from 'purify-ts';
import type {
	BackendFailure, Canceller, EngineClient, EngineEvent,
} from '../../backends/index.js';
import {
	createFailure, waitFor, type BackendServerId, type Clock, type Failure, type Logger, type Metrics, type RequestId,
} from '../../common/index.js';
import type {Grant} from '../dispatch/index.js';
import {ResponseWriter} from './response-writer.js';
import {sendFailure, type ResponseSink} from './response-sink.js';
import {formatAttemptId, type CallerRequest, type RequestOutcome} from './caller-request.js';
import {ChunkChecker} from './chunk-checker.js';
import type {GrantClient} from './grant-client.js';
import type {RequestCancellation} from './request-cancellation.js';
import type {RetryBudget} from './retry-budget.js';
import type {TokenEstimator} from './token-estimator.js';

/** Dependencies of a completion run. */
export type CompletionRunParts = {
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
	engines: EngineClient;
	canceller: Canceller;
	grants: GrantClient;
	retryBudget: RetryBudget;
	estimator: TokenEstimator;
};

/** Consecutive resumes without a new event after which the engine counts as lost. */
const maxResumes = 4;
/** Delay before the first resume, in milliseconds; doubles with each failed resume. */
const initialResumeDelay = 50;

/** Maximum number of engines tried for one request. */
const attemptLimit = 4;

/** Result of one attempt on one engine. */
type AttemptResult =
	| {kind: 'finished'}
	/** The engine rejected the request, which is not retried. */
	| {kind: 'failed'; failure: Failure}
	/** Refused before it ran; any request may be retried on another engine. */
	| {kind: 'refused'; failure: Failure}
	/** The engine was lost and may have run the request. */
	| {kind: 'lost'; failure: Failure}
	| {kind: 'aborted'};

/** Serves one completion. */
export class CompletionRun {
	readonly #parts: CompletionRunParts;
	readonly #request: CallerRequest;
	readonly #sink: ResponseSink;
	readonly #cancellation: RequestCancellation;
	readonly #writer: ResponseWriter;
	readonly #excluded: BackendServerId[] = [];

	constructor(parts: CompletionRunParts, request: CallerRequest, sink: ResponseSink, cancellation: RequestCancellation) {
		this.#parts = parts;
		this.#request = request;
		this.#sink = sink;
		this.#cancellation = cancellation;
		this.#writer = new ResponseWriter(request, sink, parts);
	}

	/** Serves the request; resolves after the sink has been ended. */
	async run(): Promise<RequestOutcome> {
		const failure = await this.#tryEngines();
		if (failure !== undefined) {
			sendFailure(this.#sink, failure, this.#writer.isStream);
		}

		return {failure, timeToFirstToken: this.#writer.timeToFirstToken};
	}

	async #tryEngines(): Promise<Failure | undefined> {
		let mayHaveRun = false;
		for (let attempt = 1; ; attempt++) {
			const attemptId = formatAttemptId(this.#request.requestId, attempt);
			const obtained = await this.#parts.grants.obtain(this.#request, attemptId, this.#excluded, this.#cancellation.signal);
			if (obtained.isLeft()) {
				const failure = this.#cancellation.findFailure(mayHaveRun) ?? obtained.extract();
				return mayHaveRun && failure.ran === undefined ? {...failure, ran: this.#writer.hasDelivered ? 'partly' : 'maybe'} : failure;
			}

			const {grant, usableUntil} = obtained.extract() as {grant: Grant; usableUntil: number};
			const result = await this.#useGrant(grant, usableUntil, attemptId);
			mayHaveRun ||= result.kind === 'lost' || result.kind === 'aborted';
			const decision = this.#evaluateAttempt(result, attempt, mayHaveRun);
			if (decision !== 'retry') {
				return decision;
			}

			this.#excluded.push(grant.backendServer);
		}
	}

	/** Returns `retry`, the failure to report, or undefined if the response is complete. */
	#evaluateAttempt(result: AttemptResult, attempt: number, mayHaveRun: boolean): Failure | 'retry' | undefined {
		if (result.kind === 'finished') {
			return undefined;
		}

		if (result.kind === 'aborted') {
			return this.#cancellation.findFailure(true);
		}

		if (result.kind === 'failed' || attempt >= attemptLimit) {
			return result.failure;
		}

		// If an earlier attempt may have run, a later refusal must not report that nothing ran.
		const failure: Failure = mayHaveRun ? {...result.failure, ran: this.#writer.hasDelivered ? 'partly' : 'maybe'} : result.failure;
		if (result.kind === 'lost' && !this.#canRetry()) {
			return failure;
		}

		if (!this.#parts.retryBudget.takeRetry()) {
			return failure;
		}

		this.#parts.metrics.incrementCounter('retries', {service: this.#request.service});
		this.#parts.logger.info({
			event: 'retry', request: this.#request.requestId, attempt, reason: failure.message, continued: this.#writer.hasDelivered,
		}, 'retrying request on another engine');
		return 'retry';
	}

	#canRetry(): boolean {
		if (!this.#request.isRepeatable) {
			return false;
		}

		return !this.#writer.hasDelivered || this.#writer.canContinue;
	}

	async #useGrant(grant: Grant, usableUntil: number, attemptId: RequestId): Promise<AttemptResult> {
		if (this.#parts.clock.readMonotonic() > usableUntil) {
			// The grant expired in transit; the dispatcher may already have reassigned its memory.
			this.#parts.grants.release(grant);
			return {kind: 'refused', failure: createFailure('no_dispatcher', 'the grant expired before it arrived')};
		}

		const result = await this.#runOnEngine(grant, attemptId);
		if (result.kind === 'finished' || result.kind === 'refused') {
			this.#parts.grants.release(grant);
		} else {
			// The caller gets its error at once; the memory is released only when the engine has confirmed the cancellation.
			void this.#cancelAndRelease(grant, attemptId);
		}

		return result;
	}

	async #cancelAndRelease(grant: Grant, attemptId: RequestId): Promise<void> {
		await this.#parts.canceller.cancel(grant.url, attemptId);
		this.#parts.grants.release(grant);
	}

	async #runOnEngine(grant: Grant, attemptId: RequestId): Promise<AttemptResult> {
		const checker = new ChunkChecker(this.#request.operation, attemptId, this.#writer.choiceCount);
		this.#writer.startAttempt();
		const started = await this.#parts.engines.startCompletion({
			url: grant.url,
			path: this.#request.operation === 'chat' ? '/v1/chat/completions' : '/v1/completions',
			requestId: attemptId,
			body: this.#writer.buildEngineBody(grant.priority),
			signal: this.#cancellation.signal,
		});
		let events: Either<BackendFailure, AsyncIterable<EngineEvent[]>> = started;
		let failedResumes = 0;
		let wasCrossed = false;
		for (;;) {
			if (this.#cancellation.signal.aborted) {
				return {kind: 'aborted'};
			}

			if (events.isLeft()) {
				const result = this.#evaluateOpenFailure(events.extract(), checker, started.isLeft());
				if (result !== undefined) {
					return result;
				}
			} else {
				const before = checker.lastSequence;
				const result = await this.#consume(events.extract() as AsyncIterable<EngineEvent[]>, checker);
				if (result === 'finished') {
					return {kind: 'finished'};
				}

				wasCrossed ||= result === 'crossed';
				failedResumes = checker.lastSequence > before ? 0 : failedResumes;
			}

			if (failedResumes >= maxResumes || (failedResumes > 0 && !this.#parts.retryBudget.takeRetry())) {
				return {kind: 'lost', failure: this.#createLossFailure(checker, wasCrossed)};
			}

			await waitFor(this.#parts.clock, initialResumeDelay * (2 ** failedResumes), this.#cancellation.signal);
			failedResumes++;
			this.#parts.metrics.incrementCounter('resumes', {service: this.#request.service});
			events = await this.#resume(grant, attemptId, checker);
		}
	}

	async #resume(grant: Grant, attemptId: RequestId, checker: ChunkChecker): Promise<Either<BackendFailure, AsyncIterable<EngineEvent[]>>> {
		if (this.#cancellation.signal.aborted) {
			return Right([] as unknown as AsyncIterable<EngineEvent[]>);
		}

		return this.#parts.engines.resumeCompletion(grant.url, attemptId, checker.lastSequence, this.#cancellation.signal);
	}

	/** Evaluates a stream that failed to open; returns undefined if it should be resumed. */
	#evaluateOpenFailure(failure: BackendFailure, checker: ChunkChecker, isFirst: boolean): AttemptResult | undefined {
		if (failure.kind === 'unknown_request' && (!isFirst || checker.lastSequence > 0)) {
			return {kind: 'lost', failure: this.#createLossFailure(checker, false)};
		}

		if (!isFirst) {
			return undefined;
		}

		switch (failure.kind) {
			case 'unreached':
			case 'busy': {
				return {kind: 'refused', failure: createFailure('backend_busy', `the backend server did not accept the request: ${failure.message}`)};
			}

			case 'rejected':
			case 'unknown_request': {
				return {kind: 'failed', failure: createFailure('backend_rejected', failure.message)};
			}

			case 'lost': {
				return undefined;
			}
		}
	}

	async #consume(batches: AsyncIterable<EngineEvent[]>, checker: ChunkChecker): Promise<'finished' | 'broken' | 'crossed'> {
		for await (const batch of batches) {
			for (const event of batch) {
				const result = this.#handleEvent(event, checker);
				if (result !== undefined) {
					return result;
				}
			}

			// Awaiting costs as much as forwarding a token, so it is skipped unless the sink is full.
			if (this.#writer.isBackpressured) {
				await this.#writer.waitForDrain();
			}
		}

		return 'broken';
	}

	/** Handles one event; returns how the stream ended, or undefined if it continues. */
	#handleEvent(event: EngineEvent, checker: ChunkChecker): 'finished' | 'broken' | 'crossed' | undefined {
		if (this.#cancellation.signal.aborted) {
			return 'broken';
		}

		const checked = checker.check(event);
		switch (checked.kind) {
			case 'chunk': {
				this.#writer.writeChunk(event.data, checked.chunk);
				return undefined;
			}

			case 'finished': {
				this.#writer.finish();
				return 'finished';
			}

			case 'repeated': {
				return undefined;
			}

			case 'broken': {
				this.#logStreamBroken(checked.reason);
				return 'broken';
			}

			case 'crossed': {
				this.#logStreamBroken('chunk belongs to another request');
				this.#parts.metrics.incrementCounter('crossed_chunks', {service: this.#request.service});
				return 'crossed';
			}
		}
	}

	#logStreamBroken(reason: string): void {
		this.#parts.logger.warn({event: 'stream_broken', request: this.#request.requestId, reason}, 'completion stream broken');
	}

	#createLossFailure(checker: ChunkChecker, wasCrossed: boolean): Failure {
		if (wasCrossed) {
			return createFailure('answer_crossed', 'the backend server sent a chunk of another request and did not continue this one', {ran: this.#writer.hasDelivered ? 'partly' : 'maybe'});
		}

		return checker.lastSequence === 0
			? createFailure('backend_unconfirmed', 'the connection to the backend server was lost before it responded; the request may have run')
			: createFailure('backend_lost', 'the connection to the backend server was lost during the response');
	}
}
