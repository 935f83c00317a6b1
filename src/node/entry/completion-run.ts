/**
 * Runs one completion from admission to its last token.
 *
 * A broken stream is resumed on the same engine. When the engine is gone the
 * request runs elsewhere if that can do no harm; else it is continued from the
 * tokens received, if the service allows; else it ends in a clear error.
 */
import {Right, type Either} from 'purify-ts';
import type {
	BackendFailure, Canceller, EngineClient, EngineEvent,
} from '../../backends/index.js';
import {
	createFailure, waitFor, type BackendServerId, type Clock, type Failure, type Logger, type Metrics, type RequestId,
} from '../../common/index.js';
import type {Grant} from '../dispatch/index.js';
import {AnswerWriter} from './answer-writer.js';
import {sendFailure, type AnswerSink} from './answer-sink.js';
import {formatAttemptId, type CallerRequest, type RequestOutcome} from './caller-request.js';
import {ChunkCheck} from './chunk-check.js';
import type {GrantClient} from './grant-client.js';
import type {RequestBound} from './request-bound.js';
import type {RetryBudget} from './retry-budget.js';
import type {TokenEstimator} from './token-estimator.js';

/** What runs need from the entry. */
export type RunParts = {
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
	engines: EngineClient;
	canceller: Canceller;
	grants: GrantClient;
	budget: RetryBudget;
	estimator: TokenEstimator;
};

/** Resumes without a new event in between before the engine counts as gone. */
const mostResumes = 4;
const firstResumeDelay = 50;

/** Engines tried for one request. */
const mostAttempts = 4;

/** How one attempt on one engine ended. */
type AttemptEnd =
	| {kind: 'finished'}
	/** The request cannot succeed anywhere, or must not be tried again. */
	| {kind: 'failed'; failure: Failure}
	/** Refused before running; free to go elsewhere. */
	| {kind: 'refused'; failure: Failure}
	/** The engine is gone and may have run it. */
	| {kind: 'lost'; failure: Failure}
	| {kind: 'aborted'};

/** One completion being served. */
export class CompletionRun {
	readonly #parts: RunParts;
	readonly #request: CallerRequest;
	readonly #sink: AnswerSink;
	readonly #bound: RequestBound;
	readonly #writer: AnswerWriter;
	readonly #excluded: BackendServerId[] = [];

	constructor(parts: RunParts, request: CallerRequest, sink: AnswerSink, bound: RequestBound) {
		this.#parts = parts;
		this.#request = request;
		this.#sink = sink;
		this.#bound = bound;
		this.#writer = new AnswerWriter(request, sink, parts);
	}

	/** Serves the request; the sink has been ended when this resolves. */
	async run(): Promise<RequestOutcome> {
		const failure = await this.#tryEngines();
		if (failure !== undefined) {
			sendFailure(this.#sink, failure, this.#writer.isStream);
		}

		return {failure, firstToken: this.#writer.firstToken};
	}

	async #tryEngines(): Promise<Failure | undefined> {
		let hasRun = false;
		for (let attempt = 1; ; attempt++) {
			const attemptId = formatAttemptId(this.#request.requestId, attempt);
			const obtained = await this.#parts.grants.obtain(this.#request, attemptId, this.#excluded, this.#bound.signal);
			if (obtained.isLeft()) {
				const failure = this.#bound.findFailure(hasRun) ?? obtained.extract();
				return hasRun && failure.ran === undefined ? {...failure, ran: this.#writer.hasDelivered ? 'partly' : 'maybe'} : failure;
			}

			const {grant, usableUntil} = obtained.extract() as {grant: Grant; usableUntil: number};
			const end = await this.#useGrant(grant, usableUntil, attemptId);
			hasRun ||= end.kind === 'lost' || end.kind === 'aborted';
			const verdict = this.#judge(end, attempt, hasRun);
			if (verdict !== 'again') {
				return verdict;
			}

			this.#excluded.push(grant.backendServer);
		}
	}

	/** Decides after an attempt: undefined when the answer is whole, a failure, or another attempt. */
	#judge(end: AttemptEnd, attempt: number, hasRun: boolean): Failure | 'again' | undefined {
		if (end.kind === 'finished') {
			return undefined;
		}

		if (end.kind === 'aborted') {
			return this.#bound.findFailure(true);
		}

		if (end.kind === 'failed' || attempt >= mostAttempts) {
			return end.failure;
		}

		// A refusal after an earlier attempt that may have run must not claim that nothing ran.
		const failure: Failure = hasRun ? {...end.failure, ran: this.#writer.hasDelivered ? 'partly' : 'maybe'} : end.failure;
		if (end.kind === 'lost' && !this.#canRunAgain()) {
			return failure;
		}

		if (!this.#parts.budget.takeRetry()) {
			return failure;
		}

		this.#parts.metrics.incrementCounter('retries', {service: this.#request.service});
		this.#parts.logger.info({
			event: 'retry', request: this.#request.requestId, attempt, reason: failure.message, continued: this.#writer.hasDelivered,
		}, 'request runs again elsewhere');
		return 'again';
	}

	#canRunAgain(): boolean {
		if (!this.#request.isRepeatable) {
			return false;
		}

		return !this.#writer.hasDelivered || this.#writer.canContinue;
	}

	async #useGrant(grant: Grant, usableUntil: number, attemptId: RequestId): Promise<AttemptEnd> {
		if (this.#parts.clock.readMonotonic() > usableUntil) {
			// The reply took longer than the grant lives: the dispatcher may have given its memory to others.
			this.#parts.grants.release(grant);
			return {kind: 'refused', failure: createFailure('no_dispatcher', 'the grant arrived too late to be used')};
		}

		const end = await this.#runOnEngine(grant, attemptId);
		if (end.kind === 'finished' || end.kind === 'refused') {
			this.#parts.grants.release(grant);
		} else {
			// The caller does not wait for the engine's word; the memory does.
			void this.#cancelAndRelease(grant, attemptId);
		}

		return end;
	}

	async #cancelAndRelease(grant: Grant, attemptId: RequestId): Promise<void> {
		await this.#parts.canceller.cancel(grant.url, attemptId);
		this.#parts.grants.release(grant);
	}

	async #runOnEngine(grant: Grant, attemptId: RequestId): Promise<AttemptEnd> {
		const check = new ChunkCheck(this.#request.operation, attemptId, this.#writer.choiceCount);
		this.#writer.startAttempt();
		const started = await this.#parts.engines.startCompletion({
			url: grant.url,
			path: this.#request.operation === 'chat' ? '/v1/chat/completions' : '/v1/completions',
			requestId: attemptId,
			body: this.#writer.buildEngineBody(grant.priority),
			signal: this.#bound.signal,
		});
		let events: Either<BackendFailure, AsyncIterable<EngineEvent[]>> = started;
		let failedResumes = 0;
		let wasCrossed = false;
		for (;;) {
			if (this.#bound.signal.aborted) {
				return {kind: 'aborted'};
			}

			if (events.isLeft()) {
				const end = this.#judgeOpening(events.extract(), check, started.isLeft());
				if (end !== undefined) {
					return end;
				}
			} else {
				const before = check.lastSequence;
				const end = await this.#consume(events.extract() as AsyncIterable<EngineEvent[]>, check);
				if (end === 'finished') {
					return {kind: 'finished'};
				}

				wasCrossed ||= end === 'crossed';
				failedResumes = check.lastSequence > before ? 0 : failedResumes;
			}

			if (failedResumes >= mostResumes || (failedResumes > 0 && !this.#parts.budget.takeRetry())) {
				return {kind: 'lost', failure: this.#describeLoss(check, wasCrossed)};
			}

			await waitFor(this.#parts.clock, firstResumeDelay * (2 ** failedResumes), this.#bound.signal);
			failedResumes++;
			this.#parts.metrics.incrementCounter('resumes', {service: this.#request.service});
			events = await this.#resume(grant, attemptId, check);
		}
	}

	async #resume(grant: Grant, attemptId: RequestId, check: ChunkCheck): Promise<Either<BackendFailure, AsyncIterable<EngineEvent[]>>> {
		if (this.#bound.signal.aborted) {
			return Right([] as unknown as AsyncIterable<EngineEvent[]>);
		}

		return this.#parts.engines.resumeCompletion(grant.url, attemptId, check.lastSequence, this.#bound.signal);
	}

	/** Judges a stream that did not open; undefined when a resume is worth trying. */
	#judgeOpening(failure: BackendFailure, check: ChunkCheck, isFirst: boolean): AttemptEnd | undefined {
		if (failure.kind === 'unknown_request' && (!isFirst || check.lastSequence > 0)) {
			return {kind: 'lost', failure: this.#describeLoss(check, false)};
		}

		if (!isFirst) {
			return undefined;
		}

		switch (failure.kind) {
			case 'unreached':
			case 'busy': {
				return {kind: 'refused', failure: createFailure('backend_busy', `the backend server did not take the request: ${failure.message}`)};
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

	async #consume(batches: AsyncIterable<EngineEvent[]>, check: ChunkCheck): Promise<'finished' | 'broken' | 'crossed'> {
		for await (const batch of batches) {
			for (const event of batch) {
				const end = this.#take(event, check);
				if (end !== undefined) {
					return end;
				}
			}

			// Only a caller that is slower than its answer is waited for: a wait costs as much as a token.
			if (this.#writer.isBehind) {
				await this.#writer.waitForRoom();
			}
		}

		return 'broken';
	}

	/** Takes one event; returns how the stream ended, or undefined while it goes on. */
	#take(event: EngineEvent, check: ChunkCheck): 'finished' | 'broken' | 'crossed' | undefined {
		if (this.#bound.signal.aborted) {
			return 'broken';
		}

		const checked = check.check(event);
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
				this.#logBreak(checked.reason);
				return 'broken';
			}

			case 'crossed': {
				this.#logBreak('a chunk of another request');
				this.#parts.metrics.incrementCounter('crossed_chunks', {service: this.#request.service});
				return 'crossed';
			}
		}
	}

	#logBreak(reason: string): void {
		this.#parts.logger.warn({event: 'stream_broken', request: this.#request.requestId, reason}, 'an answer stream was given up');
	}

	#describeLoss(check: ChunkCheck, wasCrossed: boolean): Failure {
		if (wasCrossed) {
			return createFailure('answer_crossed', 'the backend server sent a chunk of another request and did not go on with this one', {ran: this.#writer.hasDelivered ? 'partly' : 'maybe'});
		}

		return check.lastSequence === 0
			? createFailure('backend_unconfirmed', 'the backend server was lost before it answered; the request may have run')
			: createFailure('backend_lost', 'the backend server was lost in the middle of the answer');
	}
}
