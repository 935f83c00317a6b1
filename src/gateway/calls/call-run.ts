/**
 * Runs one call, from its first placement to the end of its answer.
 *
 * A request that may run only once is sent once. A repeatable one is retried on another server after a failure, and
 * a resumable stream continues there after its last complete event. The response states that nothing ran only when
 * nothing was sent, or when every server that received the request stated that it did not run it.
 */
import {
	createFailure, type AvailabilityZone, type BackendServerId, type Failure, type Logger, type Timer,
} from '../../common/index.js';
import type {Plan, Trouble} from '../../planning/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {AttemptOutcome} from './backend-attempt.js';
import {isRepeatable, type Call} from './call.js';
import {CallAttempts, type CallAttemptsListener} from './call-attempts.js';
import type {CallSink} from './call-sink.js';
import {isServerFault} from './failed-answer.js';
import {sendFailure} from './failure-answer.js';
import type {AttemptSilence, SendParts} from './live-attempt.js';
import {createStoppedFailure, PlacementFinder} from './placement-finder.js';
import type {Placement, Placer} from './placer.js';

/** Extra sends beyond the attempts of the route, to make up for servers that declined the request. */
const maxDeclinedSends = 3;

/** Minimum time left for a retry to be useful, in milliseconds: about one pass of a model server. */
const minUsefulTime = 50;

/** Retry delay for a caller whose request was declined although the plan expected free capacity, in seconds. */
const retryAfterDeclined = 0.25;

/** Dependencies of a run. */
export type CallRunParts = SendParts & {
	logger: Logger;
	metrics: GatewayMetrics;
	placer: Placer;
	/** Whether a server that broke off a request has ended. */
	hasEnded: (server: BackendServerId) => Promise<boolean>;
	/** Name and availability zone of this node. */
	node: Plan['request']['node'];
	availabilityZone: AvailabilityZone;
	/** When this node cuts off calls, by the monotonic clock; Infinity unless it is stopping. */
	readStopTime: () => number;
	/** Whether a call that is sent now is expected to end before this node cuts it off. */
	endsBeforeStop: (call: Call) => boolean;
	/** Time until another node is expected to serve what this one refuses in a stop, in milliseconds. */
	estimateReturnDelay: () => number;
};

/** How a call ended, for its log line. */
export type CallOutcome = {
	failure?: Failure;
	status: number;
	/** Time to the first event or to the complete answer, in milliseconds. */
	firstAfter?: number;
	/** Longest pause between two events of one server's stream, in milliseconds. */
	longestPause: number;
	/** Time from the last event to the end of an incomplete answer, in milliseconds. */
	sinceLastEvent?: number;
	sends: number;
	/** Time from the first send to the end, in milliseconds; undefined when nothing was sent. */
	servedFor?: number;
	servers: BackendServerId[];
	expectedFirst?: number;
	decidedBy?: Placement['decidedBy'];
};

type FailedAnswer = Extract<AttemptOutcome, {kind: 'failed'}>;

/** Why a call ends before its answer is complete: its time is over, its caller has disconnected, or this node stops. */
type StopReason = 'deadline' | 'gone' | 'node_stop';

/** Runs one call. */
export class CallRun {
	readonly #parts: CallRunParts;
	readonly #call: Call;
	readonly #sink: CallSink;
	readonly #placementFinder: PlacementFinder;
	readonly #attempts: CallAttempts;
	#deadlineTimer: Timer | undefined;
	#stopReason: StopReason | undefined;
	#lastEventId: number | undefined;
	#firstAfter: number | undefined;
	#placement: Placement | undefined;
	/** The last error answer of a server: forwarded when no other server does better. */
	#failedAnswer: FailedAnswer | undefined;
	/** Placement of a hedge beside a silent server, until it is started. */
	#hedge: Placement | undefined;
	/** Whether a retry was taken from the budget and not used yet. */
	#hasUnusedRetry = false;
	/** The request for a retry that is in progress. */
	#pendingRetryRequest: Promise<void> | undefined;

	constructor(parts: CallRunParts, call: Call, sink: CallSink) {
		this.#parts = parts;
		this.#call = call;
		this.#sink = sink;
		this.#lastEventId = call.head.lastEventId;
		const deadline = call.arrived + Math.min(call.head.timeLeft ?? Infinity, call.route.timeLimit);
		const {
			clock, placer, node, availabilityZone, readStopTime, estimateReturnDelay,
		} = parts;
		this.#placementFinder = new PlacementFinder({
			clock,
			placer,
			call,
			node,
			availabilityZone,
			deadline,
			readStopTime,
			// A request that may have run is not refused as not executed.
			endsBeforeStop: () => this.#attempts.sends > 0 || parts.endsBeforeStop(call),
			estimateReturnDelay,
		});
		this.#attempts = new CallAttempts({
			...parts,
			call,
			sink,
			// A server may have asked for rest since the plan was made.
			findServer: id => placer.isResting(call.service.name, id) ? undefined : parts.findServer(id),
			readTimeLeft: () => this.#placementFinder.timeLeft,
			listener: this.#createListener(),
		});
	}

	/** Name of its route. */
	get route(): string {
		return this.#call.route.name;
	}

	/** Time since its first send, in milliseconds; undefined before. */
	get servedFor(): number | undefined {
		const {firstSentAt} = this.#attempts;
		return firstSentAt === undefined ? undefined : this.#parts.clock.readMonotonic() - firstSentAt;
	}

	/** Serves the call; the sink has ended when this resolves. */
	async run(): Promise<CallOutcome> {
		this.#deadlineTimer = this.#parts.clock.setTimer(this.#placementFinder.timeLeft, () => {
			this.#stop('deadline');
		});
		try {
			const failure = await this.#tryServers();
			return this.#finish(failure);
		} finally {
			// Attempts remain only after an unexpected error; they would go on writing to an answer that was aborted.
			this.#attempts.stop();
			this.#deadlineTimer.cancel();
		}
	}

	/** Cancels all attempts: the caller has disconnected. */
	cancel(): void {
		this.#stop('gone');
	}

	/** Applies the stop time of this node: a call that is waiting is refused at once unless it can be served before. */
	handlePlannedStop(): void {
		this.#placementFinder.askNow();
	}

	/** Ends the call because the node stops: the caller gets a failure, or a broken answer if it has a part of one. */
	stopWithNode(): void {
		this.#stop('node_stop');
	}

	/** Handles the restart of a server: requests in its previous process will not be answered. */
	handleServerRestart(server: BackendServerId): void {
		this.#attempts.handleServerRestart(server);
	}

	#stop(reason: StopReason): void {
		this.#stopReason ??= reason;
		this.#attempts.stop();
		this.#placementFinder.stop();
	}

	/** Tries servers until one answers completely; returns undefined then, or the failure. */
	async #tryServers(): Promise<Failure | undefined> {
		for (;;) {
			const placement = await this.#obtainPlacement();
			if (placement === undefined || this.#stopReason !== undefined) {
				this.#releasePlacement(placement);
				// Whether the request may have run is known once all attempts have ended.
				await this.#attempts.waitForEnd();
				return this.#createStopFailure();
			}

			if ('kind' in placement) {
				return this.#attempts.runs + this.#attempts.running > 0 ? createUnconfirmedFailure(placement.message) : placement;
			}

			this.#placement = placement;
			this.#attempts.start(placement.plan, this.#lastEventId);
			const outcome = await this.#attempts.follow();
			const next = outcome.kind === 'silent' ? this.#recordSilence(outcome) : await this.#evaluate(outcome);
			if (next !== 'again') {
				this.#releaseHedge();
				return next;
			}
		}
	}

	/** The placement of a hedge if there is one, otherwise a new one. */
	async #obtainPlacement(): Promise<Placement | Failure | undefined> {
		const hedge = this.#hedge;
		this.#hedge = undefined;
		return hedge ?? this.#placementFinder.findPlacement(this.#sink.hasHead);
	}

	#releasePlacement(placement: Placement | Failure | undefined): void {
		if (placement !== undefined && !('kind' in placement)) {
			this.#parts.placer.report(placement.plan, {planId: placement.plan.planId, kind: 'ended'});
		}
	}

	#createListener(): CallAttemptsListener {
		return {
			acquireHedge: async plan => this.#acquireHedge(plan),
			releaseHedge: () => {
				this.#releaseHedge();
			},
			onEvent: (id, at) => {
				this.#lastEventId = id ?? this.#lastEventId;
				this.#placementFinder.lastEventAt = at;
			},
			onFirst: plan => {
				this.#firstAfter ??= this.#parts.clock.readMonotonic() - this.#call.arrived;
				this.#parts.placer.report(plan, {planId: plan.planId, kind: 'started'});
			},
			onNotice: (plan, notice) => {
				this.#parts.placer.recordNotice(this.#call.service.name, plan.server, notice);
			},
			onEnded: (plan, outcome, wasSent) => {
				this.#recordAttempt(plan, outcome, wasSent);
			},
		};
	}

	#recordAttempt(plan: Plan, outcome: AttemptOutcome, wasSent: boolean): void {
		if (outcome.kind === 'declined' || outcome.kind === 'lost') {
			this.#recordTrouble(plan, outcome.trouble, outcome.server);
		}

		if (outcome.kind === 'failed' && isServerFault({...outcome, timeLeft: this.#placementFinder.timeLeft})) {
			this.#recordTrouble(plan, 'spoiled', outcome.server);
		}

		if (outcome.kind === 'declined' || outcome.kind === 'lost' || outcome.kind === 'failed') {
			this.#placementFinder.excluded.push(outcome.server);
		}

		if (outcome.kind === 'failed') {
			this.#placementFinder.failedAt.push(outcome.server);
		}

		// A send that never left this node uses no retry.
		this.#hasUnusedRetry ||= !wasSent && this.#attempts.sends > 0;
		this.#parts.placer.report(plan, {
			planId: plan.planId,
			kind: 'ended',
			wasAnswered: outcome.kind === 'done',
			isUnanswered: outcome.kind === 'lost' || (outcome.kind === 'stopped' && outcome.mayHaveRun),
		});
	}

	/** Records a hedge beside a silent server, which uses the retry that was taken for it. */
	#recordSilence({plan, reason}: AttemptSilence): 'again' {
		this.#recordTrouble(plan, 'silent', plan.server);
		this.#placementFinder.excluded.push(plan.server);
		this.#hasUnusedRetry = false;
		this.#recordRetry(plan.server, reason);
		return 'again';
	}

	/** Decides what follows an attempt: undefined after a complete answer, a failure, or another try. */
	async #evaluate(outcome: AttemptOutcome): Promise<Failure | 'again' | undefined> {
		switch (outcome.kind) {
			case 'done': {
				return undefined;
			}

			case 'stopped': {
				return this.#createStopFailure();
			}

			case 'failed': {
				this.#failedAnswer = outcome;
				const reason = `the server answered ${outcome.status}`;
				return this.#mayRepeat() && await this.#acquireRetry(outcome.server, reason) ? 'again' : createUnconfirmedFailure(reason);
			}

			case 'declined': {
				const mayGoOn = this.#maySend && (this.#attempts.runs === 0 || this.#mayRepeat());
				return mayGoOn && await this.#acquireRetry(outcome.server, outcome.reason) ? 'again' : this.#createDeclinedFailure(outcome.reason);
			}

			case 'lost': {
				await this.#recordServerCrash(outcome);
				return !outcome.isPartial && this.#mayRepeat() && await this.#acquireRetry(outcome.server, outcome.reason) ? 'again' : createUnconfirmedFailure(outcome.reason);
			}
		}
	}

	/** Records a crash if the server has ended; a lost connection alone is none. */
	async #recordServerCrash({server, trouble}: Extract<AttemptOutcome, {kind: 'lost'}>): Promise<void> {
		const {
			head, fingerprint, service, organisation,
		} = this.#call;
		const plan = this.#placement?.plan;
		if (plan === undefined || trouble === 'silent' || !await this.#parts.hasEnded(server)) {
			return;
		}

		this.#parts.metrics.countServerEnd(service.name);
		this.#parts.logger.info({
			event: 'server_ended',
			request: head.requestId,
			service: service.name,
			server,
			fingerprint,
			organisation: organisation?.name,
			sharedParts: head.sharedParts,
			lastEventId: this.#lastEventId,
		}, 'a backend server ended while running a request');
		this.#parts.placer.report(plan, {
			planId: plan.planId, kind: 'server_ended', server, fingerprint, parts: this.#call.parts,
		});
	}

	/**
	 * Acquires a placement and a retry for a hedge beside a silent server, if the route allows another run.
	 *
	 * The silent attempt goes on meanwhile. Cancelled before there was a placement, up to 26 streams a day were lost when many
	 * servers were silent at once; most of those servers would have resumed.
	 */
	async #acquireHedge(plan: Plan): Promise<boolean> {
		if (!this.#mayRepeat() || !this.#maySend || this.#placementFinder.timeLeft < minUsefulTime) {
			return false;
		}

		const placement = await this.#placementFinder.findHedge(this.#sink.hasHead, plan.server);
		if (placement === undefined) {
			return false;
		}

		// The retry is taken last: calls without a placement would otherwise exhaust the budget for others.
		if (!await this.#ensureRetry()) {
			this.#releasePlacement(placement);
			return false;
		}

		// The restart of a server may have acquired another hedge meanwhile: only one is kept, the other is released.
		this.#releaseHedge();
		this.#hedge = placement;
		return true;
	}

	#releaseHedge(): void {
		this.#releasePlacement(this.#hedge);
		this.#hedge = undefined;
	}

	/** Whether the request may run once more, in addition to the attempts in progress. */
	#mayRepeat(): boolean {
		const {route} = this.#call;
		return isRepeatable(route) && this.#attempts.runs + this.#attempts.running < Math.max(1, route.attempts);
	}

	/** Whether the request may be sent once more, counting declined sends. */
	get #maySend(): boolean {
		return this.#attempts.sends < this.#call.route.attempts + maxDeclinedSends;
	}

	async #acquireRetry(server: BackendServerId, reason: string): Promise<boolean> {
		if (this.#stopReason !== undefined || this.#placementFinder.timeLeft < minUsefulTime) {
			return false;
		}

		// A send that never left this node uses no retry.
		const isGranted = this.#attempts.sends === 0 || await this.#ensureRetry();
		this.#hasUnusedRetry = false;
		if (!isGranted) {
			this.#parts.metrics.countRetry(this.#call.service.name, 'budget_spent');
			return false;
		}

		this.#recordRetry(server, reason);
		return true;
	}

	#recordRetry(server: BackendServerId, reason: string): void {
		this.#parts.metrics.countRetry(this.#call.service.name, 'sent');
		this.#parts.logger.info({
			event: 'retry',
			request: this.#call.head.requestId,
			after: server,
			reason,
			sends: this.#attempts.sends,
			runs: this.#attempts.runs,
			running: this.#attempts.running,
			lastEventId: this.#lastEventId,
		}, 'retrying the request on another server');
	}

	/** Takes a retry from the fleet's budget unless one is unused; concurrent calls share one request, so that only one retry is taken. */
	async #ensureRetry(): Promise<boolean> {
		if (!this.#hasUnusedRetry) {
			this.#pendingRetryRequest ??= this.#requestRetry();
			await this.#pendingRetryRequest;
		}

		return this.#hasUnusedRetry;
	}

	async #requestRetry(): Promise<void> {
		const {requestId, promptTokens} = this.#call.head;
		const isGranted = await this.#parts.placer.takeRetry({
			requestId, service: this.#call.service.name, node: this.#parts.node, promptTokens,
		});
		this.#hasUnusedRetry ||= isGranted;
		this.#pendingRetryRequest = undefined;
	}

	/** Reports trouble with a server. A failed attempt is reported only if the server is the cause, since other nodes would avoid it too. */
	#recordTrouble(plan: Plan, trouble: Trouble, server: BackendServerId): void {
		const isServerAtFault = isAttemptFailure(trouble) ? this.#parts.pool.verifyFault(server) : true;
		if (isServerAtFault === true) {
			this.#reportTrouble(plan, trouble, server);
			return;
		}

		void this.#reportConfirmed(isServerAtFault, {plan, trouble, server});
	}

	async #reportConfirmed(isServerAtFault: boolean | Promise<boolean>, {plan, trouble, server}: {plan: Plan; trouble: Trouble; server: BackendServerId}): Promise<void> {
		if (await isServerAtFault) {
			this.#reportTrouble(plan, trouble, server);
		}
	}

	#reportTrouble(plan: Plan, trouble: Trouble, server: BackendServerId): void {
		this.#parts.metrics.countTrouble(this.#call.service.name, trouble);
		this.#parts.placer.report(plan, {
			planId: plan.planId, kind: 'failed', server, trouble,
		});
	}

	#createDeclinedFailure(reason: string): Failure {
		return this.#attempts.runs > 0
			? createUnconfirmedFailure(reason)
			: createFailure('backend_busy', `no backend server accepted the request: ${reason}`, {ran: 'no', retryAfterSeconds: retryAfterDeclined});
	}

	#createStopFailure(): Failure {
		if (this.#stopReason === 'gone') {
			return createFailure('caller_gone', 'the caller closed its connection');
		}

		if (this.#stopReason === 'node_stop') {
			return this.#attempts.runs === 0 ? createStoppedFailure(this.#parts.estimateReturnDelay()) : createUnconfirmedFailure('this node has stopped');
		}

		return this.#attempts.runs === 0
			? createFailure('bound_passed_waiting', 'the time for this request passed before a backend server ran it')
			: createFailure('bound_passed_running', 'the time for this request passed while a backend server ran it');
	}

	#finish(failure: Failure | undefined): CallOutcome {
		const outcome = {
			servedFor: this.servedFor,
			failure,
			firstAfter: this.#firstAfter,
			longestPause: this.#attempts.longestPause,
			sends: this.#attempts.sends,
			servers: this.#attempts.servers,
			expectedFirst: this.#placement?.plan.expectedFirst,
			decidedBy: this.#placement?.decidedBy,
		};
		if (failure === undefined) {
			return {...outcome, status: 200};
		}

		// A server's error answer is preferred to this node's own 502, which replaced the answers of 26 calls in two runs with servers that left at short notice.
		if (this.#failedAnswer !== undefined && !this.#sink.hasHead && this.#stopReason !== 'gone') {
			this.#failedAnswer.deliver();
			return {...outcome, failure: undefined, status: this.#failedAnswer.status};
		}

		if (this.#sink.hasHead || this.#stopReason === 'gone') {
			this.#sink.abort();
			const {lastEventAt} = this.#placementFinder;
			const sinceLastEvent = lastEventAt === undefined ? undefined : this.#parts.clock.readMonotonic() - lastEventAt;
			return {...outcome, sinceLastEvent, status: 0};
		}

		return {...outcome, status: sendFailure(this.#sink, this.#parts.wire, failure, this.#call.head.requestId)};
	}
}

function createUnconfirmedFailure(reason: string): Failure {
	return createFailure('backend_unconfirmed', `a backend server may have run the request and its answer did not arrive: ${reason}`);
}

/** Whether a trouble may have its cause between this node and the server. */
function isAttemptFailure(trouble: Trouble): boolean {
	return trouble === 'unreached' || trouble === 'silent';
}
