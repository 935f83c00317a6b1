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
import type {AttemptEnd} from './backend-attempt.js';
import type {Call} from './call.js';
import {CallAttempts, type CallAttemptsListener} from './call-attempts.js';
import type {CallSink} from './call-sink.js';
import {sendFailure} from './failure-answer.js';
import type {AttemptSilence, SendParts} from './live-attempt.js';
import {PlaceSeeker} from './place-seeker.js';
import type {Placed, Placer} from './placer.js';

/** Sends of one call beyond its route's attempts, all of which must have been declined. */
const mostDeclined = 3;

/** Least time in which another server can still be of use, in milliseconds: about one pass of a model server. */
const leastUsefulTime = 50;

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
	decidedBy?: Placed['decidedBy'];
};

type FailedAnswer = Extract<AttemptEnd, {kind: 'failed'}>;

/** Runs one call. */
export class CallRun {
	readonly #parts: CallRunParts;
	readonly #call: Call;
	readonly #sink: CallSink;
	readonly #seeker: PlaceSeeker;
	readonly #attempts: CallAttempts;
	#deadlineTimer: Timer | undefined;
	#end: 'deadline' | 'gone' | undefined;
	#lastEventId: number | undefined;
	#firstAfter: number | undefined;
	#placed: Placed | undefined;
	/** The last failure that a server answered: passed on when no other server does better. */
	#failedAnswer: FailedAnswer | undefined;
	/** A place that was granted beside a silent server. */
	#nextPlace: Placed | undefined;
	/** Whether a retry was taken out of the budget and not used yet. */
	#hasRetry = false;
	/** The ask for one that is under way. */
	#retryAsk: Promise<void> | undefined;

	constructor(parts: CallRunParts, call: Call, sink: CallSink) {
		this.#parts = parts;
		this.#call = call;
		this.#sink = sink;
		this.#lastEventId = call.head.lastEventId;
		const deadline = call.arrived + Math.min(call.head.timeLeft ?? Infinity, call.route.timeLimit);
		const {
			clock, placer, node, availabilityZone,
		} = parts;
		this.#seeker = new PlaceSeeker({
			clock, placer, call, node, availabilityZone, deadline,
		});
		this.#attempts = new CallAttempts({
			...parts, call, sink, readTimeLeft: () => this.#seeker.timeLeft, listener: this.#createListener(),
		});
	}

	/** Serves the call; the sink has been ended when this resolves. */
	async run(): Promise<CallOutcome> {
		this.#deadlineTimer = this.#parts.clock.setTimer(this.#seeker.timeLeft, () => {
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
	leave(): void {
		this.#stop('gone');
	}

	/** Notes that a server has started again: what ran in its earlier life will never be answered. */
	noteRestart(ended: BackendServerId): void {
		this.#attempts.noteRestart(ended);
	}

	#stop(end: 'deadline' | 'gone'): void {
		this.#end ??= end;
		this.#attempts.stop();
		this.#seeker.stop();
	}

	/** Undefined when an answer has been given whole. */
	async #tryServers(): Promise<Failure | undefined> {
		for (;;) {
			const placed = await this.#takePlace();
			if (placed === undefined || this.#end !== undefined) {
				this.#release(placed);
				// Whether anything may have run is known once all have ended.
				await this.#attempts.waitForEnd();
				return this.#describeEnd();
			}

			if ('kind' in placed) {
				return this.#attempts.runs + this.#attempts.running > 0 ? describeUnconfirmed(placed.message) : placed;
			}

			this.#placed = placed;
			this.#attempts.begin(placed.plan, this.#lastEventId);
			const end = await this.#attempts.follow();
			const verdict = end.kind === 'silent' ? this.#noteSilence(end) : await this.#judge(end);
			if (verdict !== 'again') {
				this.#dropNextPlace();
				return verdict;
			}
		}
	}

	/** The place that was granted beside a silent server, else one that is sought now. */
	async #takePlace(): Promise<Placed | Failure | undefined> {
		const granted = this.#nextPlace;
		this.#nextPlace = undefined;
		return granted ?? this.#seeker.seek(this.#sink.hasHead);
	}

	#release(placed: Placed | Failure | undefined): void {
		if (placed !== undefined && !('kind' in placed)) {
			this.#parts.placer.note(placed.plan, {planId: placed.plan.planId, kind: 'ended'});
		}
	}

	#createListener(): CallAttemptsListener {
		return {
			takeMove: async plan => this.#takeMove(plan),
			dropMove: () => {
				this.#dropNextPlace();
			},
			onEvent: (id, at) => {
				this.#lastEventId = id ?? this.#lastEventId;
				this.#seeker.lastEventAt = at;
			},
			onFirst: plan => {
				this.#firstAfter ??= this.#parts.clock.readMonotonic() - this.#call.arrived;
				this.#parts.placer.note(plan, {planId: plan.planId, kind: 'started'});
			},
			onLimit: (plan, requestsPerSecond) => {
				this.#parts.placer.noteLimit(this.#call.service.name, plan.server, requestsPerSecond);
			},
			onEnded: (plan, end, wasSent) => {
				this.#noteEnd(plan, end, wasSent);
			},
		};
	}

	#noteEnd(plan: Plan, end: AttemptEnd, wasSent: boolean): void {
		if (end.kind === 'declined' || end.kind === 'lost') {
			this.#noteTrouble(plan, end.trouble, end.server);
		}

		if (end.kind === 'declined' || end.kind === 'lost' || end.kind === 'failed') {
			this.#seeker.excluded.push(end.server);
		}

		if (end.kind === 'failed') {
			this.#seeker.failedAt.push(end.server);
		}

		// What never left this node is no arrival anywhere and costs nothing of the budget.
		this.#hasRetry ||= !wasSent && this.#attempts.sends > 0;
		this.#parts.placer.note(plan, {
			planId: plan.planId, kind: 'ended', wasAnswered: end.kind === 'done' || end.kind === 'failed', isUnanswered: end.kind === 'lost' || (end.kind === 'stopped' && end.mayHaveRun),
		});
	}

	/** Another server is asked too: the retry that was taken for it is used. */
	#noteSilence({plan, reason}: AttemptSilence): 'again' {
		this.#noteTrouble(plan, 'silent', plan.server);
		this.#seeker.excluded.push(plan.server);
		this.#hasRetry = false;
		this.#noteRetry(plan.server, reason);
		return 'again';
	}

	/** Decides after a send: undefined when the answer has been given, a failure, or another try. */
	async #judge(end: AttemptEnd): Promise<Failure | 'again' | undefined> {
		switch (end.kind) {
			case 'done': {
				return undefined;
			}

			case 'stopped': {
				return this.#describeEnd();
			}

			case 'failed': {
				this.#failedAnswer = end;
				const reason = `the server answered ${end.status}`;
				return this.#mayRepeat() && await this.#takeTry(end.server, reason) ? 'again' : describeUnconfirmed(reason);
			}

			case 'declined': {
				const mayGoOn = this.#maySend && (this.#attempts.runs === 0 || this.#mayRepeat());
				return mayGoOn && await this.#takeTry(end.server, end.reason) ? 'again' : this.#describeDeclined(end.reason);
			}

			case 'lost': {
				await this.#noteServerCrash(end);
				return this.#mayRepeat() && await this.#takeTry(end.server, end.reason) ? 'again' : describeUnconfirmed(end.reason);
			}
		}
	}

	/** Records a crash if the server is gone; a lost connection alone is none. */
	async #noteServerCrash({server, trouble}: Extract<AttemptEnd, {kind: 'lost'}>): Promise<void> {
		const {head, fingerprint, service} = this.#call;
		const plan = this.#placed?.plan;
		if (plan === undefined || trouble === 'silent' || !await this.#parts.hasEnded(server)) {
			return;
		}

		this.#parts.metrics.countServerEnd(service.name);
		this.#parts.logger.info({
			event: 'server_ended', request: head.requestId, service: service.name, server, fingerprint,
		}, 'a backend server ended while it ran the request');
		this.#parts.placer.note(plan, {
			planId: plan.planId, kind: 'server_ended', server, fingerprint,
		});
	}

	/**
	 * Whether another server may be asked beside a silent one: what runs counts, a place is held, and the retry is taken.
	 *
	 * Streams that were left before a place was granted were broken off when none came in time, up to 26 of a day on
	 * which many servers were silent at once; most of those would have spoken again.
	 */
	async #takeMove(plan: Plan): Promise<boolean> {
		if (!this.#mayRepeat() || !this.#maySend || this.#seeker.timeLeft < leastUsefulTime) {
			return false;
		}

		const placed = await this.#seeker.seekAtOnce(this.#sink.hasHead, plan.server);
		if (placed === undefined) {
			return false;
		}

		// Taken before there was a place, retries were spent by calls that had nowhere to go, and others' were not granted.
		if (!await this.#holdRetry()) {
			this.#release(placed);
			return false;
		}

		// A server that has ended meanwhile may have asked as well: one place is held, and none forgotten.
		this.#dropNextPlace();
		this.#nextPlace = placed;
		return true;
	}

	#dropNextPlace(): void {
		this.#release(this.#nextPlace);
		this.#nextPlace = undefined;
	}

	/** Whether the request may run once more, beside what runs already. */
	#mayRepeat(): boolean {
		const {route} = this.#call;
		const isRepeatable = route.kind === 'repeatable' || (route.kind === 'stream' && route.canResume);
		return isRepeatable && this.#attempts.runs + this.#attempts.running < Math.max(1, route.attempts);
	}

	/** Whether a server may be asked that may decline. */
	get #maySend(): boolean {
		return this.#attempts.sends < this.#call.route.attempts + mostDeclined;
	}

	async #takeTry(server: BackendServerId, reason: string): Promise<boolean> {
		if (this.#end !== undefined || this.#seeker.timeLeft < leastUsefulTime) {
			return false;
		}

		// What never left this node is no arrival anywhere and costs nothing of the budget.
		const isGranted = this.#attempts.sends === 0 || await this.#holdRetry();
		this.#hasRetry = false;
		if (!isGranted) {
			this.#parts.metrics.countRetry(this.#call.service.name, 'budget_spent');
			return false;
		}

		this.#noteRetry(server, reason);
		return true;
	}

	#noteRetry(server: BackendServerId, reason: string): void {
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
	async #holdRetry(): Promise<boolean> {
		if (!this.#hasRetry) {
			this.#retryAsk ??= this.#askRetry();
			await this.#retryAsk;
		}

		return this.#hasRetry;
	}

	async #askRetry(): Promise<void> {
		const {requestId, promptTokens} = this.#call.head;
		const isGranted = await this.#parts.placer.takeRetry({
			requestId, service: this.#call.service.name, node: this.#parts.node, promptTokens,
		});
		this.#hasRetry ||= isGranted;
		this.#retryAsk = undefined;
	}

	#noteTrouble(plan: Plan, trouble: Trouble, server: BackendServerId): void {
		this.#parts.metrics.countTrouble(this.#call.service.name, trouble);
		this.#parts.placer.note(plan, {
			planId: plan.planId, kind: 'failed', server, trouble,
		});
	}

	#describeDeclined(reason: string): Failure {
		return this.#attempts.runs > 0
			? describeUnconfirmed(reason)
			: createFailure('backend_busy', `no backend server took the request: ${reason}`, {ran: 'no', retryAfterSeconds: retryAfterDeclined});
	}

	#describeEnd(): Failure {
		if (this.#end === 'gone') {
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
			expectedFirst: this.#placed?.plan.expectedFirst,
			decidedBy: this.#placed?.decidedBy,
		};
		if (failure === undefined) {
			return {...outcome, status: 200};
		}

		// Thrown away for the node's own 502 when no other server was there, the answers of 26 calls were lost in two plays with servers that left at short notice.
		if (this.#failedAnswer !== undefined && !this.#sink.hasHead && this.#end !== 'gone') {
			this.#failedAnswer.deliver();
			return {...outcome, failure: undefined, status: this.#failedAnswer.status};
		}

		if (this.#sink.hasHead || this.#end === 'gone') {
			this.#sink.cut();
			const {lastEventAt} = this.#seeker;
			const sinceLastEvent = lastEventAt === undefined ? undefined : this.#parts.clock.readMonotonic() - lastEventAt;
			return {...outcome, sinceLastEvent, status: 0};
		}

		return {...outcome, status: sendFailure(this.#sink, this.#parts.wire, failure, this.#call.head.requestId)};
	}
}

function describeUnconfirmed(reason: string): Failure {
	return createFailure('backend_unconfirmed', `a backend server may have run the request and its answer did not arrive: ${reason}`);
}
