/**
 * One attempt of a call at one backend server: checks the answer and passes it on.
 *
 * An answer that is no stream is held until it is whole, so that a broken one can still be
 * replaced. Of a stream, whole events are passed on as they come.
 */
import {Buffer} from 'node:buffer';
import {
	readErrorMessage, type BackendServerId, type Clock, type Timer,
} from '../../common/index.js';
import {moveSilenceShare, type Plan, type Trouble} from '../../planning/index.js';
import type {Route} from '../../routing/index.js';
import type {ResponseHead, GatewayWire, HeaderFields} from '../wire.js';
import {BackendExchange} from './backend-exchange.js';
import type {Call} from './call.js';
import type {CallSink} from './call-sink.js';
import {EventParser, type EventFrame} from './event-parser.js';

/** How an attempt ended. */
export type AttemptOutcome =
	/** The whole answer has been passed on. */
	| {kind: 'done'}
	/** The server ran it and answered with a failure; `deliver` passes that answer on. */
	| {kind: 'failed'; server: BackendServerId; status: number; deliver: () => void}
	/** It did not run; `faultyAddress` when the server names another one that it depended on. */
	| {kind: 'declined'; trouble: Trouble; server: BackendServerId; reason: string; faultyAddress?: string}
	/** It may have run, and there is no whole answer. */
	| {kind: 'lost'; trouble: Trouble; server: BackendServerId; reason: string}
	/** Stopped from this side. */
	| {kind: 'stopped'; mayHaveRun: boolean};

/** What an attempt needs. */
export type AttemptParts = {
	clock: Clock;
	wire: GatewayWire;
	call: Call;
	sink: CallSink;
	plan: Plan;
	/** The event after which the stream goes on. */
	lastEventId: number | undefined;
	/** Takes a place at another server to ask there too; while there is none, a silent server is asked alone. */
	acquireHedge: () => Promise<boolean>;
	/** Gives such a place back: the server has spoken meanwhile. */
	dropMove: () => void;
	/** Called once for each silence for which a place was taken. */
	onSilent: (reason: string) => void;
	/** Called before anything is passed on: from then on this server alone answers the caller. */
	claimAnswer: () => void;
	/** Called with the request limit of an answer's head, in requests a second; undefined when it names none. */
	onLimit: (requestsPerSecond: number | undefined) => void;
	/** Called with each event that is passed on. */
	onEvent: (id: number | undefined, at: number) => void;
	/** Called once, at the first event or the whole answer. */
	onFirst: () => void;
};

/** Bytes of an answer that is held until it is whole. */
const maxBufferedBytes = 1024 * 1024;

/** Silence before the first event, as a multiple of the objective and in milliseconds at least, after which a server counts as silent. */
const firstEventTimeoutFactor = 3;
const minFirstEventTimeout = 1000;

/** Share of a silence after which a move that was not granted is asked for again. */
const hedgeRetryShare = 0.25;

const minServerErrorStatus = 500;

/** Silence between two events that a server's other work may make, in milliseconds; undefined when the route has no streams. */
export function findMaxSilence({longestSilence}: Route): number | undefined {
	return longestSilence === undefined ? undefined : longestSilence * moveSilenceShare;
}

/** Silence between two events after which a stream goes on at another server, in milliseconds; undefined when it may not. */
function findStallTimeout(route: Route): number | undefined {
	return route.canResume ? findMaxSilence(route) : undefined;
}

/** One attempt. */
export class BackendAttempt {
	/** Handler to dispatch. */
	readonly exchange: BackendExchange;
	/** Settles with how it ended; never rejects. */
	readonly ended: Promise<AttemptOutcome>;
	readonly #parts: AttemptParts;
	readonly #parser = new EventParser();
	readonly #buffered: Uint8Array[] = [];
	#bufferedLength = 0;
	#head: ResponseHead | undefined;
	#isStream = false;
	#hasData = false;
	#hasNotifiedFirst = false;
	#lastEventId: number | undefined;
	#lastEventAt: number | undefined;
	/** When the server was heard last, or asked. */
	#lastActivityAt = 0;
	#longestPause = 0;
	#isOver = false;
	#silenceTimer: Timer | undefined;
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
	}

	/** Longest time between two events that were passed on, in milliseconds. */
	get longestPause(): number {
		return this.#longestPause;
	}

	/** How long nothing has been heard of the server, in milliseconds. */
	get silentFor(): number {
		return this.#parts.clock.readMonotonic() - this.#lastActivityAt;
	}

	/** Whether some of a stream has come from it. */
	get hasData(): boolean {
		return this.#hasData;
	}

	/** Stops the server's work: the answer is no longer wanted. */
	stop(): void {
		const mayHaveRun = this.exchange.wasSent;
		this.exchange.abort();
		this.#finish({kind: 'stopped', mayHaveRun});
	}

	/** Asks another server at once beside one whose process has ended, when that could take over; else its connection tells. */
	handleServerRestart(): void {
		const canHedge = this.#findFirstEventTimeout() !== undefined;
		if (!this.#isOver && canHedge) {
			this.#setSilenceTimer(0, () => 'the server has started again');
		}
	}

	/** Seeks yet another place beside a silent server: the one that was asked there has failed. */
	retryHedge(): void {
		if (this.#silenceTimer === undefined && this.#findSilenceTimeout() !== undefined) {
			this.#setSilenceTimer(0);
		}
	}

	#handleHead(status: number, headers: HeaderFields): void {
		const head = this.#parts.wire.readResponseHead(status, headers);
		this.#head = head;
		if (head.requestId !== undefined && head.requestId !== this.#parts.call.head.requestId) {
			this.#fail('spoiled', 'the answer belongs to another request');
			return;
		}

		// Only a true answer tells that a limit was lifted.
		if (head.requestLimit !== undefined || head.isSigned) {
			this.#parts.onLimit(head.requestLimit);
		}

		const isSuccess = status < 300;
		if (isSuccess && (!head.isSigned || head.isEncoded)) {
			this.#fail('spoiled', 'the answer lacks the mark of a backend server');
			return;
		}

		this.#isStream = isSuccess && this.#parts.call.route.kind === 'stream';
	}

	/**
	 * From here on this server alone answers the caller; the first one's head stands for the whole answer, whoever goes on with it.
	 *
	 * The head goes out with the first event: a server that has sent one and nothing else has promised, not answered. At
	 * a head the server that ran the request was stopped beside one that then kept silent.
	 */
	#claimStream(): void {
		const {claimAnswer, sink} = this.#parts;
		claimAnswer();
		if (this.#head !== undefined && !sink.hasHead) {
			sink.sendHead(this.#head.status, this.#head.headers, this.#head.isFramed);
		}
	}

	#handleData(chunk: Uint8Array): void {
		if (!this.#isStream) {
			this.#collect(chunk);
			return;
		}

		this.#hasData = true;
		this.#restartSilenceTimer();
		let canWriteMore = true;
		for (const frame of this.#parser.push(chunk)) {
			if (frame.id === undefined || this.#lastEventId === undefined || frame.id > this.#lastEventId) {
				canWriteMore = this.#forward(frame);
			}
		}

		if (!canWriteMore) {
			this.#waitForCaller();
		}
	}

	#forward({id, bytes}: EventFrame): boolean {
		this.#claimStream();
		this.#notifyFirst();
		const now = this.#parts.clock.readMonotonic();
		this.#longestPause = Math.max(this.#longestPause, now - (this.#lastEventAt ?? now));
		this.#lastEventAt = now;
		this.#lastEventId = id ?? this.#lastEventId;
		this.#parts.onEvent(id, now);
		return this.#parts.sink.write(bytes);
	}

	/** A slow caller holds the server up, and must not be taken for a silent server. */
	#waitForCaller(): void {
		this.#silenceTimer?.cancel();
		this.exchange.pause();
		this.#parts.sink.onDrain(() => {
			this.exchange.resume();
			this.#restartSilenceTimer();
		});
	}

	#collect(chunk: Uint8Array): void {
		this.#buffered.push(chunk);
		this.#bufferedLength += chunk.length;
		if (this.#bufferedLength > maxBufferedBytes) {
			this.#fail('spoiled', `the answer is longer than ${maxBufferedBytes} bytes`);
		}
	}

	#handleEnd(): void {
		if (this.#isOver || this.#head === undefined) {
			return;
		}

		if (this.#isStream) {
			this.#endStream();
			return;
		}

		this.#endAnswer(this.#head);
	}

	#endStream(): void {
		if (this.#parser.pendingLength > 0) {
			this.#finish(this.#createLost('spoiled', 'the stream ended inside an event'));
			return;
		}

		this.#claimStream();
		this.#notifyFirst();
		if (this.#parts.sink.isFramed && this.#head?.isFramed === false) {
			// The caller's head promises an end that says whether the answer is whole; this server's does not.
			this.#parts.sink.abort();
		} else {
			this.#parts.sink.end();
		}

		this.#finish({kind: 'done'});
	}

	#endAnswer(head: ResponseHead): void {
		const {server} = this.#parts.plan;
		const body = Buffer.concat(this.#buffered);
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
				deliver: () => {
					this.#deliver(head, body);
				},
			});
			return;
		}

		this.#parts.claimAnswer();
		this.#notifyFirst();
		this.#deliver(head, body);
		this.#finish({kind: 'done'});
	}

	/** A stream that has begun with the caller cannot turn into a failure answer. */
	#deliver(head: ResponseHead, body: Uint8Array): void {
		const {sink} = this.#parts;
		if (sink.hasHead) {
			sink.abort();
			return;
		}

		const length = head.isFramed ? {'content-length': String(body.length)} : {};
		sink.sendHead(head.status, {...head.headers, ...length}, head.isFramed);
		sink.end(body);
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
			kind: 'lost', trouble, server: this.#parts.plan.server, reason,
		};
	}

	#notifyFirst(): void {
		if (!this.#hasNotifiedFirst) {
			this.#hasNotifiedFirst = true;
			this.#parts.onFirst();
		}
	}

	/** Only requests that may go elsewhere are taken from a silent server. */
	#restartSilenceTimer(): void {
		this.#lastActivityAt = this.#parts.clock.readMonotonic();
		this.#silenceTimer?.cancel();
		const timeout = this.#findSilenceTimeout();
		if (timeout !== undefined) {
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

	/** An event that comes while a place is asked for ends the silence; without a place one is asked for again. */
	async #handleSilence(timer: Timer, describe: () => string): Promise<void> {
		const reason = describe();
		const hasHedge = await this.#parts.acquireHedge();
		if (this.#silenceTimer !== timer || this.#isOver) {
			this.#parts.dropMove();
		} else if (hasHedge) {
			this.#silenceTimer = undefined;
			this.#parts.onSilent(reason);
		} else {
			this.#setSilenceTimer(Math.max(minFirstEventTimeout, this.#findSilenceTimeout() ?? 0) * hedgeRetryShare, describe);
		}
	}

	/** Silence after which another server is asked too; undefined when none may be. */
	#findSilenceTimeout(): number | undefined {
		return this.#hasData ? findStallTimeout(this.#parts.call.route) : this.#findFirstEventTimeout();
	}

	#findFirstEventTimeout(): number | undefined {
		const {route} = this.#parts.call;
		if (route.kind === 'once' || (route.kind === 'stream' && !route.canResume)) {
			return undefined;
		}

		const {expectedFirst, startIn} = this.#parts.plan;
		return Math.max(minFirstEventTimeout, route.objective * firstEventTimeoutFactor, (expectedFirst - startIn) * firstEventTimeoutFactor);
	}

	#finish(outcome: AttemptOutcome): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#silenceTimer?.cancel();
			this.#resolve(outcome);
		}
	}
}
