/** The caller-facing side of a node: accepts requests, enforces limits and deadlines, runs them, and records their outcomes. */
import {Buffer} from 'node:buffer';
import {setMaxListeners} from 'node:events';
import type {IncomingHttpHeaders} from 'node:http';
import type {Either} from 'purify-ts';
import type {Canceller, EngineClient, PlainClient} from '../../backends/index.js';
import {
	createFailure, parseRunKey, readErrorMessage, type AvailabilityZone, type Clock, type Failure, type Incarnation, type Logger, type Metrics, type RunKeyParts,
} from '../../common/index.js';
import type {AnswerFrame, KeyedRequest, NodeClients} from '../../rpc/index.js';
import type {EntrySettings} from '../../settings/index.js';
import type {FleetView} from '../config/index.js';
import type {Members} from '../membership/members.js';
import {listAddresses, type AddressResponse} from './addresses.js';
import {sendFailure, type ResponseSink} from './response-sink.js';
import {formatRequestId, type CallerRequest, type RequestOutcome} from './caller-request.js';
import {CompletionRun} from './completion-run.js';
import {FrameSink} from './frame-sink.js';
import type {GrantClient} from './grant-client.js';
import {yieldToEventLoop} from './large-body.js';
import {KeyedRouter} from './keyed-router.js';
import {findLengthClass, maxShortPromptTokens, SlowdownTracker} from './length-class.js';
import {
	authenticate, parseCompletion, parsePlainCall, type ParseContext, type RawRequest,
} from './parse-request.js';
import {PlainRun} from './plain-run.js';
import type {PrefixHasher} from './prompt-prefixes.js';
import {RequestCancellation} from './request-cancellation.js';
import {RetryBudget} from './retry-budget.js';
import {RunKeyStore} from './run-keys.js';
import {TokenEstimator} from './token-estimator.js';

/** Dependencies of an entry. */
export type EntryParts = {
	settings: EntrySettings;
	clock: Clock;
	logger: Logger;
	metrics: Metrics;
	random: () => number;
	view: FleetView;
	members: Members;
	clients: NodeClients;
	engines: EngineClient;
	plain: PlainClient;
	canceller: Canceller;
	grants: GrantClient;
	hasher: PrefixHasher;
	incarnation: Incarnation;
	availabilityZone: AvailabilityZone;
};

const bytesPerMebibyte = 1_048_576;

/** Serves callers' requests. */
export class Entry {
	readonly runKeys: RunKeyStore;
	readonly #parts: EntryParts;
	readonly #estimator = new TokenEstimator();
	readonly #retryBudget: RetryBudget;
	readonly #slowdownTracker = new SlowdownTracker();
	readonly #stopController = new AbortController();
	#isRefusing = false;
	readonly #keyedRouter: KeyedRouter;
	#requestCount = 0;
	#inProgress = 0;
	#bufferedBytes = 0;

	constructor(parts: EntryParts) {
		this.#parts = parts;
		// Every request in progress adds a listener to this signal, which would trigger Node's leak warning.
		setMaxListeners(0, this.#stopController.signal);
		this.#retryBudget = new RetryBudget(parts.settings.retryShare);
		this.runKeys = new RunKeyStore(parts.clock, parts.incarnation, parts.settings.runKeyLifetimeSeconds * 1000, parts.settings.keptOutcomesMebibytes * bytesPerMebibyte);
		this.#keyedRouter = new KeyedRouter({
			runKeys: this.runKeys,
			members: parts.members,
			clients: parts.clients,
			ownIncarnation: parts.incarnation,
			runRequest: async (request, sink) => this.#run(request, sink),
		});
	}

	/** Number of requests in progress. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Serves a completion; resolves after the sink has been ended. */
	async serveCompletion(raw: RawRequest, operation: 'chat' | 'text', sink: ResponseSink): Promise<void> {
		await this.#serve(raw, sink, async parts => parseCompletion(raw, operation, parts));
	}

	/** Serves a call to a plain service; resolves after the sink has been ended. */
	async servePlain(raw: RawRequest, sink: ResponseSink): Promise<void> {
		await this.#serve(raw, sink, async parts => parsePlainCall(raw, parts));
	}

	/** Serves a request with a run key that another node has forwarded. */
	async * serveForwarded(keyed: KeyedRequest, signal: AbortSignal): AsyncGenerator<AnswerFrame> {
		const parsed = parseRunKey(keyed.runKey);
		const parts = parsed.isRight() ? parsed.extract() : undefined;
		if (parts === undefined || !this.runKeys.answersFor(parts.incarnation)) {
			yield {kind: 'not_owner'};
			return;
		}

		const sink = new FrameSink(signal);
		void this.#writeForwarded(keyed, parts, sink);
		yield * sink.read();
	}

	/** Lists the entry addresses that callers may use, those in their availability zone first. */
	listAddresses(zone: AvailabilityZone): AddressResponse {
		return {
			addresses: listAddresses(this.#parts.members.listReady(), zone, {second: this.runKeys.readSecond(), random: this.#parts.random}),
			lifetimeSeconds: this.#parts.settings.addressLifetimeSeconds,
		};
	}

	/** Lists the models that the owner of the request's API key may use. */
	listModels(headers: IncomingHttpHeaders): Either<Failure, string[]> {
		return authenticate(headers, this.#parts.view).map(organisation =>
			organisation.services.filter(name => this.#parts.view.find('Service', name)?.type === 'engine'));
	}

	/** Refuses new requests from now on, as not executed. */
	refuseNew(): void {
		this.#isRefusing = true;
	}

	/** Aborts every request in progress with an error. */
	abortRequests(): void {
		this.refuseNew();
		this.#stopController.abort();
	}

	async #serve(raw: RawRequest, sink: ResponseSink, parse: (parts: ParseContext) => Promise<Either<Failure, CallerRequest>>): Promise<void> {
		const refusal = this.#findRefusal(raw.body.length);
		if (refusal !== undefined) {
			this.#parts.metrics.incrementCounter('refusals', {kind: refusal.kind});
			sendFailure(sink, refusal, false);
			return;
		}

		this.#inProgress++;
		this.#bufferedBytes += raw.body.length;
		try {
			await this.#serveParsed(await parse(this.#createParseContext()), sink);
		} catch (error) {
			this.#parts.logger.error({event: 'request_crashed', reason: readErrorMessage(error)}, 'request failed with an internal error');
			sendFailure(sink, createFailure('internal', 'internal error; it is not known whether the request ran'), sink.hasStarted);
		} finally {
			await sink.flush();
			this.#inProgress--;
			this.#bufferedBytes -= raw.body.length;
		}
	}

	async #serveParsed(parsed: Either<Failure, CallerRequest>, sink: ResponseSink): Promise<void> {
		if (parsed.isLeft()) {
			const failure = parsed.extract();
			this.#parts.metrics.incrementCounter('refusals', {kind: failure.kind});
			sendFailure(sink, failure, false);
			return;
		}

		const request = parsed.extract() as CallerRequest;
		const outcome = request.runKey === undefined
			? await this.#run(request, sink)
			: await this.#keyedRouter.serve(request, sink);
		this.#record(request, outcome);
	}

	async #writeForwarded(keyed: KeyedRequest, parts: RunKeyParts, sink: ResponseSink): Promise<void> {
		this.#inProgress++;
		try {
			const raw = {
				method: keyed.method, url: keyed.url, headers: keyed.headers, body: Buffer.from(keyed.body, 'base64'),
			};
			const parsed = keyed.operation === 'plain'
				? parsePlainCall(raw, this.#createParseContext())
				: await parseCompletion(raw, keyed.operation, this.#createParseContext());
			if (parsed.isLeft()) {
				sendFailure(sink, parsed.extract(), false);
				return;
			}

			const request = parsed.extract() as CallerRequest;
			this.#record(request, await this.#keyedRouter.serveLocally(request, parts, sink));
		} catch (error) {
			this.#parts.logger.error({event: 'request_crashed', reason: readErrorMessage(error)}, 'forwarded request failed with an internal error');
			sink.abort();
		} finally {
			this.#inProgress--;
		}
	}

	async #run(request: CallerRequest, sink: ResponseSink): Promise<RequestOutcome> {
		this.#retryBudget.recordRequest();
		const cancellation = new RequestCancellation(this.#parts.clock, request.deadline, sink.disconnected, this.#stopController.signal);
		const parts = {...this.#parts, retryBudget: this.#retryBudget, estimator: this.#estimator};
		try {
			await this.#hashPrefixes(request);
			const run = request.operation === 'plain'
				? new PlainRun(parts, request, sink, cancellation)
				: new CompletionRun(parts, request, sink, cancellation);
			return await run.run();
		} finally {
			cancellation.close();
		}
	}

	async #hashPrefixes(request: CallerRequest): Promise<void> {
		if (request.completion !== undefined) {
			request.prefixes = this.#parts.hasher.hashPrompt(request.operation, request.completion, this.#estimator.readRatio(request.service));
			await yieldToEventLoop(request.body.length);
		}
	}

	#findRefusal(bodyLength: number): Failure | undefined {
		if (this.#isRefusing) {
			return createFailure('node_stopped', 'this node is stopping; use another address', {ran: 'no', retryAfterSeconds: 0});
		}

		if (this.#parts.view.revision === 0) {
			return createFailure('node_not_ready', 'this node has not loaded its configuration yet; use another address');
		}

		if (this.#inProgress >= this.#parts.settings.requestLimit) {
			return createFailure('node_busy', 'this node has reached its request limit; use another address');
		}

		if (this.#bufferedBytes + bodyLength > this.#parts.settings.heldBodiesMebibytes * bytesPerMebibyte) {
			return createFailure('node_busy', 'this node has reached its limit for buffered request bodies; use another address');
		}

		return undefined;
	}

	#createParseContext(): ParseContext {
		return {
			clock: this.#parts.clock,
			view: this.#parts.view,
			estimator: this.#estimator,
			createRequestId: () => formatRequestId(this.#parts.incarnation, ++this.#requestCount),
		};
	}

	#record(request: CallerRequest, outcome: RequestOutcome): void {
		const {metrics, logger, clock} = this.#parts;
		const lengthClass = findLengthClass(request.promptTokens);
		if (outcome.timeToFirstToken !== undefined) {
			metrics.recordTiming('first_token', outcome.timeToFirstToken, {service: request.service, length: lengthClass});
			if (request.operation !== 'plain' && request.promptTokens <= maxShortPromptTokens) {
				metrics.recordGauge('short_slowdown', this.#slowdownTracker.measure(request.service, request.promptTokens, outcome.timeToFirstToken), {service: request.service});
			}
		}

		if (outcome.failure !== undefined) {
			metrics.incrementCounter('failures', {service: request.service, kind: outcome.failure.kind});
		}

		logger.info({
			event: 'request_ended',
			request: request.requestId,
			organisation: request.organisation,
			service: request.service,
			promptTokens: request.promptTokens,
			outcome: outcome.failure?.kind ?? 'whole',
			firstToken: outcome.timeToFirstToken === undefined ? undefined : Math.round(outcome.timeToFirstToken),
			took: Math.round(clock.readMonotonic() - request.arrivedAt),
		}, 'request ended');
	}
}
