/**
 * One attempt of a call at one backend server: validates the answer and forwards it.
 *
 * An answer that is not a stream is buffered until it is complete, so that a broken one can still be
 * replaced, or until it is too long for that. The events of a stream are forwarded one by one, each once it is complete.
 */
import {Buffer} from 'node:buffer';
import {
	ByteQueue, readErrorMessage, type BackendServerId, type Clock, type Timer,
} from '../../common/index.js';
import {moveSilenceShare, type Plan, type Trouble} from '../../planning/index.js';
import type {Route} from '../../routing/index.js';
import type {ResponseHead, GatewayWire, HeaderFields} from '../wire.js';
import {BackendExchange} from './backend-exchange.js';
import type {Call} from './call.js';
import type {CallSink} from './call-sink.js';
import {EventParser, type EventFrame} from './event-parser.js';
import {minServerErrorStatus, PlainAnswer} from './plain-answer.js';
import {listNotices, type ServerNotice} from './server-notice.js';

/** How an attempt ended. */
export type AttemptOutcome =
	/** The complete answer has been forwarded. */
	| {kind: 'done'}
	/** The server ran the request and answered with an error, possibly one that asks for rest; `deliver` forwards that answer. */
	| {kind: 'failed'; server: BackendServerId; status: number; asksForRest: boolean; deliver: () => void}
	/** The request did not run; `faultyAddress` is set when the server names a helper as the cause. */
	| {kind: 'declined'; trouble: Trouble; server: BackendServerId; reason: string; faultyAddress?: string}
	/** The request may have run, but there is no complete answer; `isPartial` is set when the caller has a part that no other server can continue. */
	| {kind: 'lost'; trouble: Trouble; server: BackendServerId; reason: string; isPartial: boolean}
	/** Cancelled by this node. */
	| {kind: 'stopped'; mayHaveRun: boolean};

/** Dependencies of an attempt. */
export type AttemptParts = {
	clock: Clock;
	wire: GatewayWire;
	call: Call;
	sink: CallSink;
	plan: Plan;
	/** Id of the last event that the caller has received; the stream resumes after it. */
	lastEventId: number | undefined;
	/** Acquires a placement at another server for a hedge, a second attempt beside a silent one; false when there is none. */
	acquireHedge: () => Promise<boolean>;
	/** Releases that placement: the server has sent data in the meantime. */
	releaseHedge: () => void;
	/** Called once for each silence for which a hedge was acquired. */
	onSilent: (reason: string) => void;
	/** Called when the server has sent nothing for its silence limit, whether or not a hedge is possible, or until the attempt was cancelled late. */
	onQuiet: () => void;
	/** Called before anything is forwarded: from then on only this server answers the caller. */
	claimAnswer: () => void;
	/** Called for each statement of the server about itself in the head of its answer. */
	onNotice: (notice: ServerNotice) => void;
	/** Called for each forwarded event, with its id and the monotonic time in milliseconds. */
	onEvent: (id: number | undefined, at: number) => void;
	/** Called once, at the first event or the complete answer. */
	onFirst: () => void;
};

/** Maximum size of a buffered answer, in bytes; a longer one is forwarded as it arrives. */
const maxBufferedBytes = 1024 * 1024;

/** Maximum size of the events without data that are held until the first one that has data, in bytes. */
const maxLeadingBytes = 65_536;

/** Timeout of the first event: a multiple of the route's objective and of the expected time, and at least this many milliseconds. */
const firstEventTimeoutFactor = 3;
const minFirstEventTimeout = 1000;

/** Share of the silence timeout after which a refused hedge is requested again. */
const hedgeRetryShare = 0.25;

/** Longest silence between two events that a server's other work may cause, in milliseconds; undefined when the route has no streams. */
export function findMaxSilence({longestSilence}: Route): number | undefined {
	return longestSilence === undefined ? undefined : longestSilence * moveSilenceShare;
}

/** Silence between two events after which a hedge is started, in milliseconds; undefined when the stream cannot be resumed. */
function findStallTimeout(route: Route): number | undefined {
	return route.canResume ? findMaxSilence(route) : undefined;
}

/** Handles the answer of one backend server to one request. */
export class BackendAttempt {
	/** Handler to pass to the connection pool. */
	readonly exchange: BackendExchange;
	/** Resolves with the outcome; never rejects. */
	readonly ended: Promise<AttemptOutcome>;
	readonly #parts: AttemptParts;
	readonly #parser = new EventParser();
	#head: ResponseHead | undefined;
	/** The answer, unless it is a stream. */
	#plainAnswer: PlainAnswer | undefined;
	#isStream = false;
	#hasData = false;
	#hasNotifiedFirst = false;
	#lastEventId: number | undefined;
	#lastEventAt: number | undefined;
	/** Events without data that arrived before the first one that has data. */
	readonly #leading = new ByteQueue();
	/** When the server last sent data, or when it was asked. */
	#lastActivityAt = 0;
	#longestPause = 0;
	#isOver = false;
	#silenceTimer: Timer | undefined;
	#quietTimer: Timer | undefined;
	#resolve!: (outcome: AttemptOutcome) => void;

	constructor(parts: AttemptParts) {
		this.#parts = parts;
		this.#lastEventId = parts.lastEventId;
		this.ended = new Promise(resolve => {
			this.#resolve = resolve;
		});
		this.exchange = new BackendExchange({
			onHead: (status, headers) => {
				this.#handleHead(status, headers);
			},
			onData: chunk => {
				this.#handleData(chunk);
			},
			onEnd: () => {
				this.#handleEnd();
			},
			onError: (error, wasSent) => {
				this.#handleError(error, wasSent);
			},
		});
		this.#restartSilenceTimer();
		this.#quietTimer = parts.clock.setTimer(this.#computeFirstEventTimeout(), () => {
			parts.onQuiet();
		});
	}

	/** Longest time between two forwarded events, in milliseconds. */
	get longestPause(): number {
		return this.#longestPause;
	}

	/** Time since the server last sent data, in milliseconds. */
	get silentFor(): number {
		return this.#parts.clock.readMonotonic() - this.#lastActivityAt;
	}

	/** Whether the server has sent any part of a stream. */
	get hasData(): boolean {
		return this.#hasData;
	}

	/** Cancels the request at the server: its answer is no longer needed. */
	stop(): void {
		const mayHaveRun = this.exchange.wasSent;
		// Short deadlines end attempts before the silence limit.
		if (mayHaveRun && this.#quietTimer !== undefined && this.silentFor >= this.#parts.call.route.objective) {
			this.#parts.onQuiet();
		}

		this.exchange.abort();
		this.#finish({kind: 'stopped', mayHaveRun});
	}

	/** Requests a hedge at once if another server could take over; otherwise the closed connection ends the attempt. */
	handleServerRestart(): void {
		const canHedge = !this.#isForwardingPlain && this.#findFirstEventTimeout() !== undefined;
		if (!this.#isOver && canHedge) {
			this.#setSilenceTimer(0, () => 'the server has started again');
		}
	}

	/** Requests another hedge beside a silent server, after the previous one has failed. */
	retryHedge(): void {
		if (this.#silenceTimer === undefined && this.#findSilenceTimeout() !== undefined) {
			this.#setSilenceTimer(0);
		}
	}

	#handleHead(status: number, headers: HeaderFields): void {
		const head = this.#parts.wire.readResponseHead(status, headers);
		this.#head = head;
		this.#cancelQuietTimer();
		if (head.requestId !== undefined && head.requestId !== this.#parts.call.head.requestId) {
			this.#fail('spoiled', 'the answer belongs to another request');
			return;
		}

		for (const notice of listNotices(head)) {
			this.#parts.onNotice(notice);
		}

		const isSuccess = status < 300;
		if (isSuccess && (!head.isSigned || head.isEncoded)) {
			this.#fail('spoiled', 'the answer is not signed by a backend server, or is encoded');
			return;
		}

		this.#isStream = isSuccess && this.#parts.call.route.kind === 'stream';
		this.#plainAnswer = this.#isStream ? undefined : new PlainAnswer(head, this.#parts.sink);
	}

	/**
	 * Makes this server the only one that answers the caller; the head of the first such server stands for the whole answer.
	 *
	 * The head is sent with the first event: a server that has sent only a head may still stay silent, and the other
	 * attempt, which was running the request, would have been cancelled for it.
	 */
	#claimStream(): void {
		const {claimAnswer, sink} = this.#parts;
		claimAnswer();
		if (this.#head !== undefined && !sink.hasHead) {
			sink.sendHead(this.#head.status, this.#head.headers, this.#head.isFramed);
		}
	}

	#handleData(chunk: Uint8Array): void {
		if (this.#plainAnswer !== undefined) {
			this.#collect(chunk, this.#plainAnswer);
			return;
		}

		const frames = this.#parser.push(chunk).filter(frame => this.#isNew(frame));
		if (this.#parser.hasPendingData) {
			this.#recordProgress();
		}

		if (frames.length === 0) {
			return;
		}

		const bytes = frames.length === 1 ? frames[0].bytes : Buffer.concat(frames.map(frame => frame.bytes));
		this.#waitUnless(frames.some(({hasData}) => hasData) ? this.#forward(bytes) : this.#forwardDataless(bytes));
	}

	/** Whether the caller has not received an event; records its id. */
	#isNew({id}: EventFrame): boolean {
		if (id === undefined) {
			return true;
		}

		const isNew = this.#lastEventId === undefined || id > this.#lastEventId;
		this.#lastEventId = isNew ? id : this.#lastEventId;
		return isNew;
	}

	/** Forwards the events of one chunk in one write: written one by one, thousands of tiny events would block the event loop. */
	#forward(bytes: Uint8Array): boolean {
		this.#recordProgress();
		this.#claimStream();
		this.#notifyFirst();
		const now = this.#parts.clock.readMonotonic();
		this.#longestPause = Math.max(this.#longestPause, now - (this.#lastEventAt ?? now));
		this.#lastEventAt = now;
		this.#parts.onEvent(this.#lastEventId, now);
		this.#writeLeading();
		return this.#parts.sink.write(bytes);
	}

	#recordProgress(): void {
		this.#hasData = true;
		this.#restartSilenceTimer();
	}

	/** Forwards events without data. They are no progress, and do not make this server the one that answers: until it is, some are held. */
	#forwardDataless(bytes: Uint8Array): boolean {
		if (!this.#hasNotifiedFirst && this.#leading.length + bytes.length <= maxLeadingBytes) {
			this.#leading.append(bytes);
			return true;
		}

		this.#claimStream();
		this.#writeLeading();
		return this.#parts.sink.write(bytes);
	}

	#writeLeading(): void {
		if (this.#leading.length > 0) {
			this.#parts.sink.write(this.#leading.take());
		}
	}

	/** Applies backpressure without the silence timer: a slow caller must not make the server look silent. */
	#waitForCaller(): void {
		this.#silenceTimer?.cancel();
		if (this.exchange.isPaused) {
			return;
		}

		this.exchange.pause();
		this.#parts.sink.onDrain(() => {
			this.exchange.resume();
			this.#restartSilenceTimer();
		});
	}

	#collect(chunk: Uint8Array, answer: PlainAnswer): void {
		if (answer.isForwarding) {
			this.#waitUnless(answer.forward(chunk));
			return;
		}

		answer.add(chunk);
		if (answer.bufferedLength <= maxBufferedBytes) {
			return;
		}

		if (!answer.canForward) {
			this.#fail('spoiled', `the answer is longer than ${maxBufferedBytes} bytes`);
			return;
		}

		// From here on no other server may answer: neither a hedge that runs nor one that is being acquired.
		this.#silenceTimer?.cancel();
		this.#silenceTimer = undefined;
		this.#parts.claimAnswer();
		this.#notifyFirst();
		this.#waitUnless(answer.startForwarding());
	}

	#waitUnless(canWriteMore: boolean): void {
		if (!canWriteMore) {
			this.#waitForCaller();
		}
	}

	get #isForwardingPlain(): boolean {
		return this.#plainAnswer?.isForwarding ?? false;
	}

	#handleEnd(): void {
		if (this.#isOver || this.#head === undefined) {
			return;
		}

		if (this.#plainAnswer === undefined) {
			this.#endStream();
			return;
		}

		this.#endAnswer(this.#head, this.#plainAnswer);
	}

	#endStream(): void {
		if (this.#parser.pendingLength > 0) {
			this.#finish(this.#createLost('spoiled', 'the stream ended inside an event'));
			return;
		}

		this.#claimStream();
		this.#notifyFirst();
		this.#writeLeading();
		if (this.#parts.sink.isFramed && this.#head?.isFramed === false) {
			// By its head, the caller can tell a complete body from a broken one; the end of this server's unframed body proves neither.
			this.#parts.sink.abort();
		} else {
			this.#parts.sink.end();
		}

		this.#finish({kind: 'done'});
	}

	#endAnswer(head: ResponseHead, answer: PlainAnswer): void {
		const {server} = this.#parts.plan;
		if (head.isDeclined) {
			const fault = head.faultyAddress === undefined ? '' : `, ${head.faultyAddress} at fault`;
			this.#finish({
				kind: 'declined', trouble: 'full', server, reason: `status ${head.status}${fault}`, faultyAddress: head.faultyAddress,
			});
			return;
		}

		if (head.status >= minServerErrorStatus) {
			this.#finish({
				kind: 'failed',
				server,
				status: head.status,
				asksForRest: (head.rest ?? 0) > 0,
				deliver() {
					answer.end();
				},
			});
			return;
		}

		this.#parts.claimAnswer();
		this.#notifyFirst();
		answer.end();
		this.#finish({kind: 'done'});
	}

	#handleError(error: Error, wasSent: boolean): void {
		const reason = readErrorMessage(error);
		if (wasSent) {
			this.#finish(this.#createLost(this.#head === undefined ? 'unreached' : 'spoiled', reason));
			return;
		}

		this.#finish({
			kind: 'declined', trouble: 'unreached', server: this.#parts.plan.server, reason,
		});
	}

	#fail(trouble: Trouble, reason: string): void {
		const {wasSent} = this.exchange;
		this.exchange.abort();
		this.#finish(wasSent
			? this.#createLost(trouble, reason)
			: {
				kind: 'declined', trouble, server: this.#parts.plan.server, reason,
			});
	}

	#createLost(trouble: Trouble, reason: string): AttemptOutcome {
		return {
			kind: 'lost', trouble, server: this.#parts.plan.server, reason, isPartial: this.#isForwardingPlain,
		};
	}

	#notifyFirst(): void {
		if (!this.#hasNotifiedFirst) {
			this.#hasNotifiedFirst = true;
			this.#parts.onFirst();
		}
	}

	/** Sets the timer only for requests that may run on another server. */
	#restartSilenceTimer(): void {
		this.#lastActivityAt = this.#parts.clock.readMonotonic();
		this.#silenceTimer?.cancel();
		const timeout = this.#findSilenceTimeout();
		if (timeout !== undefined && !this.exchange.isPaused) {
			this.#setSilenceTimer(timeout);
		}
	}

	#setSilenceTimer(timeout: number, describe = () => this.#describeSilence()): void {
		this.#silenceTimer?.cancel();
		if (this.#isOver) {
			return;
		}

		const timer = this.#parts.clock.setTimer(timeout, () => {
			void this.#handleSilence(timer, describe);
		});
		this.#silenceTimer = timer;
	}

	#describeSilence(): string {
		return `the server was silent for ${Math.round(this.silentFor)} ms`;
	}

	/** Requests a hedge. Data that arrives meanwhile ends the silence; a refused hedge is requested again later. */
	async #handleSilence(timer: Timer, describe: () => string): Promise<void> {
		const reason = describe();
		const hasHedge = await this.#parts.acquireHedge();
		if (this.#silenceTimer !== timer || this.#isOver) {
			this.#parts.releaseHedge();
		} else if (hasHedge) {
			this.#silenceTimer = undefined;
			this.#parts.onSilent(reason);
		} else {
			this.#setSilenceTimer(Math.max(minFirstEventTimeout, this.#findSilenceTimeout() ?? 0) * hedgeRetryShare, describe);
		}
	}

	/** Silence after which a hedge is started, in milliseconds; undefined when the request may not run elsewhere. */
	#findSilenceTimeout(): number | undefined {
		if (this.#isForwardingPlain) {
			return undefined;
		}

		return this.#hasData ? findStallTimeout(this.#parts.call.route) : this.#findFirstEventTimeout();
	}

	#findFirstEventTimeout(): number | undefined {
		const {route} = this.#parts.call;
		return route.kind === 'once' || (route.kind === 'stream' && !route.canResume) ? undefined : this.#computeFirstEventTimeout();
	}

	#computeFirstEventTimeout(): number {
		const {plan: {expectedFirst, startIn}, call: {route}} = this.#parts;
		return Math.max(minFirstEventTimeout, route.objective * firstEventTimeoutFactor, (expectedFirst - startIn) * firstEventTimeoutFactor);
	}

	#cancelQuietTimer(): void {
		this.#quietTimer?.cancel();
		this.#quietTimer = undefined;
	}

	#finish(outcome: AttemptOutcome): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#silenceTimer?.cancel();
			this.#cancelQuietTimer();
			if (outcome.kind !== 'failed') {
				this.#plainAnswer?.discard();
			}

			this.#resolve(outcome);
		}
	}
}
