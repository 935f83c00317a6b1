/**
 * One call from its place to the end of its answer.
 *
 * What may run once is sent once. What may be repeated goes to another server when the
 * first one failed; a stream that may be continued goes on after its last whole event.
 * A refusal that says that nothing ran is only given when nothing was sent, or when every
 * server that was sent the request stated that it did not run it.
 */
import {
	createFailure, type AvailabilityZone, type BackendServerId, type Failure, type Logger, type Timer,
} from '../../common/index.js';
import type {Plan, Trouble} from '../../planning/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {AttemptOutcome} from './backend-attempt.js';
import type {Call} from './call.js';
import {CallAttempts, type CallAttemptsListener} from './call-attempts.js';
import type {CallSink} from './call-sink.js';
import {sendFailure} from './failure-answer.js';
import type {AttemptSilence, SendParts} from './live-attempt.js';
import {PlacementFinder} from './placement-finder.js';
import type {Placement, Placer} from './placer.js';

/** Sends of one call beyond its route's attempts, all of which must have been declined. */
const maxDeclinedSends = 3;

/** Least time in which another server can still be of use, in milliseconds: about one pass of a model server. */
const minUsefulTime = 50;

/** When a caller is asked to come back if servers declined although there was room by the plan, in seconds. */
const retryAfterDeclined = 0.25;

/** What runs need. */
export type CallRunParts = SendParts & {
	logger: Logger;
	metrics: GatewayMetrics;
	placer: Placer;
	/** Whether a server that has cut a request has ended. */
	hasEnded: (server: BackendServerId) => Promise<boolean>;
	/** Name and availability zone of this node. */
	node: Plan['request']['node'];
	availabilityZone: AvailabilityZone;
};

/** How a call ended, for its log line. */
export type CallOutcome = {
	failure?: Failure;
	status: number;
	/** Milliseconds to the first event or to the answer. */
	firstAfter?: number;
	/** Longest pause between two events of one server's stream, in milliseconds. */
	longestPause: number;
	/** Milliseconds from the last event to the end of an answer that is not whole. */
	sinceLastEvent?: number;
	sends: number;
	servers: BackendServerId[];
	expectedFirst?: number;
	decidedBy?: Placement['decidedBy'];
};

type FailedAnswer = Extract<AttemptOutcome, {kind: 'failed'}>;

/** Runs one call. */
export class CallRun {
	readonly #parts: CallRunParts;
	readonly #call: Call;
	readonly #sink: CallSink;
	readonly #placementFinder: PlacementFinder;
	readonly #attempts: CallAttempts;
	#deadlineTimer: Timer | undefined;
	#stopReason: 'deadline' | 'gone' | undefined;
	#lastEventId: number | undefined;
	#firstAfter: number | undefined;
	#placement: Placement | undefined;
	/** The last failure that a server answered: passed on when no other server does better. */
	#failedAnswer: FailedAnswer | undefined;
	/** A place that was granted beside a silent server. */
	#hedge: Placement | undefined;
	/** Whether a retry was taken out of the budget and not used yet. */
	#hasUnusedRetry = false;
	/** The ask for one that is under way. */
	#pendingRetryRequest: Promise<void> | undefined;

	constructor(parts: CallRunParts, call: Call, sink: CallSink) {
		this.#parts = parts;
		this.#call = call;
		this.#sink = sink;
		this.#lastEventId = call.head.lastEventId;
		const deadline = call.arrived + Math.min(call.head.timeLeft ?? Infinity, call.route.timeLimit);
		const {
			clock, placer, node, availabilityZone,
		} = parts;
		this.#placementFinder = new PlacementFinder({
			clock, placer, call, node, availabilityZone, deadline,
		});
		this.#attempts = new CallAttempts({
			...parts, call, sink, readTimeLeft: () => this.#placementFinder.timeLeft, listener: this.#createListener(),
		});
	}

	/** Serves the call; the sink has been ended when this resolves. */
	async run(): Promise<CallOutcome> {
		this.#deadlineTimer = this.#parts.clock.setTimer(this.#placementFinder.timeLeft, () => {
			this.#stop('deadline');
		});
		try {
			const failure = await this.#tryServers();
			return this.#finish(failure);
		} finally {
			// Nothing is left to stop but after a defect, when another attempt would write on under an answer that was cut.
			this.#attempts.stop();
			this.#deadlineTimer.cancel();
		}
	}

	/** Notes that the caller is gone: whatever runs for it is stopped. */
	cancel(): void {
		this.#stop('gone');
	}

	/** Notes that a server has started again: what ran in its earlier life will never be answered. */
	handleServerRestart(server: BackendServerId): void {
		this.#attempts.handleServerRestart(server);
	}

	#stop(reason: 'deadline' | 'gone'): void {
		this.#stopReason ??= reason;
		this.#attempts.stop();
		this.#placementFinder.stop();
	}

	/** Undefined when an answer has been given whole. */
	async #tryServers(): Promise<Failure | undefined> {
		for (;;) {
			const placement = await this.#obtainPlacement();
			if (placement === undefined || this.#stopReason !== undefined) {
				this.#releasePlacement(placement);
				// Whether anything may have run is known once all have ended.
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

	/** The place that was granted beside a silent server, else one that is sought now. */
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
			dropMove: () => {
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
			onLimit: (plan, requestsPerSecond) => {
				this.#parts.placer.recordLimit(this.#call.service.name, plan.server, requestsPerSecond);
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

		if (outcome.kind === 'declined' || outcome.kind === 'lost' || outcome.kind === 'failed') {
			this.#placementFinder.excluded.push(outcome.server);
		}

		if (outcome.kind === 'failed') {
			this.#placementFinder.failedAt.push(outcome.server);
		}

		// What never left this node is no arrival anywhere and costs nothing of the budget.
		this.#hasUnusedRetry ||= !wasSent && this.#attempts.sends > 0;
		this.#parts.placer.report(plan, {
			planId: plan.planId, kind: 'ended', wasAnswered: outcome.kind === 'done' || outcome.kind === 'failed', isUnanswered: outcome.kind === 'lost' || (outcome.kind === 'stopped' && outcome.mayHaveRun),
		});
	}

	/** Another server is asked too: the retry that was taken for it is used. */
	#recordSilence({plan, reason}: AttemptSilence): 'again' {
		this.#recordTrouble(plan, 'silent', plan.server);
		this.#placementFinder.excluded.push(plan.server);
		this.#hasUnusedRetry = false;
		this.#recordRetry(plan.server, reason);
		return 'again';
	}

	/** Decides after a send: undefined when the answer has been given, a failure, or another try. */
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
				return this.#mayRepeat() && await this.#acquireRetry(outcome.server, outcome.reason) ? 'again' : createUnconfirmedFailure(outcome.reason);
			}
		}
	}

	/** Records a crash if the server is gone; a lost connection alone is none. */
	async #recordServerCrash({server, trouble}: Extract<AttemptOutcome, {kind: 'lost'}>): Promise<void> {
		const {head, fingerprint, service} = this.#call;
		const plan = this.#placement?.plan;
		if (plan === undefined || trouble === 'silent' || !await this.#parts.hasEnded(server)) {
			return;
		}

		this.#parts.metrics.countServerEnd(service.name);
		this.#parts.logger.info({
			event: 'server_ended', request: head.requestId, service: service.name, server, fingerprint,
		}, 'a backend server ended while it ran the request');
		this.#parts.placer.report(plan, {
			planId: plan.planId, kind: 'server_ended', server, fingerprint,
		});
	}

	/**
	 * Whether another server may be asked beside a silent one: what runs counts, a place is held, and the retry is taken.
	 *
	 * Streams that were left before a place was granted were broken off when none came in time, up to 26 of a day on
	 * which many servers were silent at once; most of those would have spoken again.
	 */
	async #acquireHedge(plan: Plan): Promise<boolean> {
		if (!this.#mayRepeat() || !this.#maySend || this.#placementFinder.timeLeft < minUsefulTime) {
			return false;
		}

		const placement = await this.#placementFinder.findHedge(this.#sink.hasHead, plan.server);
		if (placement === undefined) {
			return false;
		}

		// Taken before there was a place, retries were spent by calls that had nowhere to go, and others' were not granted.
		if (!await this.#ensureRetry()) {
			this.#releasePlacement(placement);
			return false;
		}

		// A server that has ended meanwhile may have asked as well: one place is held, and none forgotten.
		this.#releaseHedge();
		this.#hedge = placement;
		return true;
	}

	#releaseHedge(): void {
		this.#releasePlacement(this.#hedge);
		this.#hedge = undefined;
	}

	/** Whether the request may run once more, beside what runs already. */
	#mayRepeat(): boolean {
		const {route} = this.#call;
		const isRepeatable = route.kind === 'repeatable' || (route.kind === 'stream' && route.canResume);
		return isRepeatable && this.#attempts.runs + this.#attempts.running < Math.max(1, route.attempts);
	}

	/** Whether a server may be asked that may decline. */
	get #maySend(): boolean {
		return this.#attempts.sends < this.#call.route.attempts + maxDeclinedSends;
	}

	async #acquireRetry(server: BackendServerId, reason: string): Promise<boolean> {
		if (this.#stopReason !== undefined || this.#placementFinder.timeLeft < minUsefulTime) {
			return false;
		}

		// What never left this node is no arrival anywhere and costs nothing of the budget.
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
		}, 'the request goes to another server');
	}

	/** One retry at a time: a server that fails while one is asked for beside it needs no second one of the fleet's budget. */
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

	#recordTrouble(plan: Plan, trouble: Trouble, server: BackendServerId): void {
		this.#parts.metrics.countTrouble(this.#call.service.name, trouble);
		this.#parts.placer.report(plan, {
			planId: plan.planId, kind: 'failed', server, trouble,
		});
	}

	#createDeclinedFailure(reason: string): Failure {
		return this.#attempts.runs > 0
			? createUnconfirmedFailure(reason)
			: createFailure('backend_busy', `no backend server took the request: ${reason}`, {ran: 'no', retryAfterSeconds: retryAfterDeclined});
	}

	#createStopFailure(): Failure {
		if (this.#stopReason === 'gone') {
			return createFailure('caller_gone', 'the caller closed its connection');
		}

		return this.#attempts.runs === 0
			? createFailure('bound_passed_waiting', 'the time for this request passed before a backend server ran it')
			: createFailure('bound_passed_running', 'the time for this request passed while a backend server ran it');
	}

	#finish(failure: Failure | undefined): CallOutcome {
		const outcome = {
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

		// Thrown away for the node's own 502 when no other server was there, the answers of 26 calls were lost in two plays with servers that left at short notice.
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
