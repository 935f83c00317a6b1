/** Serves callers' requests: resolves the route, runs the call and logs its outcome. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Left, Right} from 'purify-ts';
import {
	createFailure, readErrorMessage, type AvailabilityZone, type BackendServerId, type BoxId, type Clock, type Failure, type Logger,
} from '../../common/index.js';
import type {FleetState} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {StopSchedule} from '../stop-schedule.js';
import type {CallHead, GatewayWire} from '../wire.js';
import type {BackendPool} from './backend-pool.js';
import {isRepeatable, type Call} from './call.js';
import {CallRun, type CallOutcome} from './call-run.js';
import {ServiceTimes} from './service-times.js';
import {computeFingerprint, computePartTraits} from './request-fingerprint.js';
import {sendFailure} from './failure-answer.js';
import type {HttpSink} from './call-sink.js';
import {waitForFirstView} from './first-view.js';
import type {NodeBuffers} from './node-buffers.js';
import {createStoppedFailure} from './placement-finder.js';
import type {Placer} from './placer.js';
import {RequestTurns} from './request-turns.js';
import type {Reservations} from './reservations.js';
import type {ServerDialer} from './server-dialer.js';
import {ServerProbe} from './server-probe.js';

/** Longest prompt that the metrics count as short, in tokens. */
const maxShortPromptTokens = 25_000;

/** Time between the expected end of a call and the cut-off of a stopping node from which on it is started, in milliseconds. */
const minTimeBeforeCutOff = 250;

/** Dependencies of the service. */
export type CallServiceParts = {
	clock: Clock;
	logger: Logger;
	metrics: GatewayMetrics;
	state: FleetState;
	wire: GatewayWire;
	pool: BackendPool;
	placer: Placer;
	reservations: Reservations;
	dialer: ServerDialer;
	/** Buffers with a common budget; without them, each server waits for its caller. */
	buffers: NodeBuffers | undefined;
	/** Name and availability zone of this node. */
	node: BoxId;
	availabilityZone: AvailabilityZone;
	/** Returns uniform random numbers from 0 (included) to 1 (excluded). */
	random: () => number;
	/** Time until another node is expected to serve what this one refuses in a stop, in milliseconds. */
	estimateReturnDelay: () => number;
};

/** Serves the calls of one node. */
export class CallService {
	readonly #parts: CallServiceParts;
	readonly #runs = new Set<CallRun>();
	readonly #turns = new RequestTurns();
	readonly #serviceTimes = new ServiceTimes();
	/** Undefined unless the node is stopping. */
	#stopSchedule: StopSchedule | undefined;
	#isRefusing = false;
	readonly #probe: ServerProbe;

	constructor(parts: CallServiceParts) {
		this.#parts = parts;
		const {
			clock, state, dialer, pool,
		} = parts;
		this.#probe = new ServerProbe({
			clock, dialer, findServer: id => state.findUsableServer(id), isLive: id => state.hasServer(id), isCut: id => pool.isCut(id), verifyFault: async id => pool.verifyFault(id),
		});
	}

	/** Handles the restart of a server: calls that ran in its previous process continue elsewhere at once. */
	handleServerRestart(server: BackendServerId): void {
		for (const run of this.#runs) {
			run.handleServerRestart(server);
		}
	}

	/** Number of calls in progress. */
	get inProgress(): number {
		return this.#runs.size;
	}

	/** Announces when calls will be cut off: those that wait and cannot be served before are refused at once. */
	planStop(schedule: StopSchedule): void {
		this.#stopSchedule = schedule;
		for (const run of this.#runs) {
			run.handlePlannedStop();
		}
	}

	/** Refuses new calls from now on, as not executed. */
	refuseNew(): void {
		this.#isRefusing = true;
	}

	/** Ends all calls at once; their callers get a failure, or a broken answer if they have a part of one. */
	stopNow(): void {
		this.refuseNew();
		for (const run of this.#runs) {
			run.stopWithNode();
		}
	}

	/** Serves one call to the end of its answer. */
	async serve(request: IncomingMessage, body: Uint8Array | undefined, sink: HttpSink, response: ServerResponse): Promise<void> {
		const arrived = this.#parts.clock.readMonotonic();
		const {wire, logger} = this.#parts;
		const head = wire.readCallHead(request.method ?? 'GET', request.url ?? '/', request.headers);
		await waitForFirstView(this.#parts.clock, this.#parts.state);
		const hasTurn = await this.#turns.wait(request, response);
		if (!hasTurn) {
			logger.info({event: 'call_refused', kind: 'caller_gone', status: 0}, 'the connection was closed before the request could be served');
			return;
		}

		const resolved = head
			.chain(value => this.#isRefusing ? Left(this.#createStoppedFailure()) : this.#resolve(value, body, arrived))
			.chain(call => this.#endsBeforeStop(call) ? Right(call) : Left(this.#createStoppedFailure()));
		if (resolved.isLeft()) {
			const failure = resolved.extract();
			const requestId = head.caseOf<CallHead['requestId'] | undefined>({Left: () => undefined, Right: value => value.requestId});
			const status = sendFailure(sink, wire, failure, requestId);
			this.#parts.metrics.countCall('none', failure.kind);
			logger.info({
				event: 'call_refused',
				request: requestId,
				kind: failure.kind,
				status,
				configVersion: this.#parts.state.configVersion,
				configAge: this.#parts.state.sourceAgeTracker.measureFleetAge('configuration'),
				sinceSignal: this.#measureSinceSignal(),
			}, failure.message);
			return;
		}

		await this.#run(resolved.extract() as Call, sink, response);
	}

	async #run(call: Call, sink: HttpSink, response: ServerResponse): Promise<void> {
		const {clock, logger, wire} = this.#parts;
		const buffered = this.#parts.buffers?.open(sink, {
			requestId: call.head.requestId, service: call.service.name, organisation: call.organisation?.name, bodyLength: call.body?.length ?? 0,
		});
		const run = new CallRun({
			clock,
			logger,
			metrics: this.#parts.metrics,
			wire,
			pool: this.#parts.pool,
			placer: this.#parts.placer,
			reservations: this.#parts.reservations,
			findServer: id => this.#parts.state.findUsableServer(id),
			findEvacuatedZone: id => this.#parts.state.findEvacuatedZone(id),
			hasEnded: async id => this.#probe.hasEnded(id),
			node: this.#parts.node,
			availabilityZone: this.#parts.availabilityZone,
			readStopTime: () => this.#stopSchedule?.cutOffAt ?? Infinity,
			endsBeforeStop: value => this.#endsBeforeStop(value),
			estimateReturnDelay: this.#parts.estimateReturnDelay,
		}, call, buffered ?? sink);
		this.#runs.add(run);
		response.once('close', () => {
			if (!response.writableFinished) {
				run.cancel();
			}
		});
		try {
			this.#recordOutcome(call, await run.run());
		} catch (error) {
			logger.error({event: 'call_crashed', request: call.head.requestId, reason: readErrorMessage(error)}, 'unexpected error in this node while serving a call');
			if (sink.hasHead) {
				sink.abort();
			} else {
				sendFailure(sink, wire, createFailure('internal', 'this node failed while serving the request'), call.head.requestId);
			}
		} finally {
			buffered?.releaseCall();
			// A planned stop waits for what is read ahead of a caller.
			await buffered?.closed;
			this.#runs.delete(run);
		}
	}

	/**
	 * Whether a call that has not been sent may be sent in a planned stop: only if nearly all requests of its route would end before
	 * the cut-off. Without another ready node, one that may be repeated is started in any case.
	 */
	#endsBeforeStop({route, head, arrived}: Call): boolean {
		if (this.#stopSchedule === undefined || (isRepeatable(route) && this.#parts.estimateReturnDelay() > 0)) {
			return true;
		}

		const now = this.#parts.clock.readMonotonic();
		const limit = arrived + Math.min(head.timeLeft ?? Infinity, route.timeLimit);
		const running = [...this.#runs].flatMap(run => run.route === route.name ? run.servedFor ?? [] : []);
		const end = Math.min(limit, now + (this.#serviceTimes.estimate(route.name, running) ?? Infinity));
		return end <= this.#stopSchedule.cutOffAt - minTimeBeforeCutOff;
	}

	#createStoppedFailure(): Failure {
		return createStoppedFailure(this.#parts.estimateReturnDelay());
	}

	/** Time since the signal for a planned stop, in milliseconds; undefined unless the node is stopping. */
	#measureSinceSignal(): number | undefined {
		return this.#stopSchedule === undefined ? undefined : Math.round(this.#parts.clock.readMonotonic() - this.#stopSchedule.signalledAt);
	}

	/** Finds the route, the organisation and the service of a call. */
	#resolve(head: CallHead, body: Uint8Array | undefined, arrived: number) {
		return this.#parts.state.resolveCall(head.host, head.target, head.key, this.#parts.random()).map(resolved => ({
			head,
			body,
			fingerprint: computeFingerprint(head, resolved.organisation?.name, body),
			parts: computePartTraits(head.sharedParts, resolved.organisation?.name),
			arrived,
			...resolved,
		}));
	}

	#recordOutcome(call: Call, outcome: CallOutcome): void {
		const {clock, logger} = this.#parts;
		const service = call.service.name;
		if (outcome.servedFor !== undefined) {
			this.#serviceTimes.record(call.route.name, outcome.servedFor);
		}

		this.#parts.metrics.countCall(service, outcome.failure?.kind ?? 'whole');
		if (outcome.firstAfter !== undefined) {
			this.#parts.metrics.recordFirstEvent(service, call.head.promptTokens <= maxShortPromptTokens ? 'short' : 'long', outcome.firstAfter);
		}

		logger.info({
			event: 'call_ended',
			request: call.head.requestId,
			route: call.route.name,
			service,
			organisation: call.organisation?.name,
			configVersion: call.configVersion,
			promptTokens: call.head.promptTokens,
			outcome: outcome.failure?.kind ?? 'whole',
			reason: outcome.failure?.message,
			status: outcome.status,
			sends: outcome.sends,
			servers: outcome.servers,
			decidedBy: outcome.decidedBy,
			expectedFirst: outcome.expectedFirst === undefined ? undefined : Math.round(outcome.expectedFirst),
			firstAfter: outcome.firstAfter === undefined ? undefined : Math.round(outcome.firstAfter),
			longestPause: Math.round(outcome.longestPause),
			sinceLastEvent: outcome.sinceLastEvent === undefined ? undefined : Math.round(outcome.sinceLastEvent),
			pauseAim: call.route.longestPause,
			callerWaits: call.head.timeLeft,
			objective: call.route.objective,
			sinceSignal: this.#measureSinceSignal(),
			took: Math.round(clock.readMonotonic() - call.arrived),
		}, 'a call ended');
	}
}
