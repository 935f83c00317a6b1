/**
 * The buffers of a node's calls: carries out the decisions of the account, and reports them.
 *
 * With it, a stream is read ahead of its slow caller, so that its server becomes free and does not cut the answer.
 */
import type {
	Clock, Logger, OrganisationId, RequestId, ServiceName, Timer,
} from '../../common/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import {BufferAccount, type BufferKind} from './buffer-account.js';
import type {HttpSink} from './call-sink.js';
import {ReadAheadSink} from './read-ahead-sink.js';

/** Interval between reviews while a caller is slow, in milliseconds: the time for which callers are slow decides who is cut off. */
const reviewInterval = 100;

/**
 * Bytes beyond the budget before a caller is cut off: a call that is held back still takes the chunk of 64 KiB that its server
 * has sent, so this is room for 125 of them.
 */
const reserve = 8_000_000;

/** What a call states for the account and the log. */
export type BufferedCall = {
	requestId: RequestId;
	service: ServiceName;
	organisation: OrganisationId | undefined;
	/** Size of the request body, which is held for retries, in bytes. */
	bodyLength: number;
};

/** Dependencies of the buffers. */
export type NodeBuffersParts = {
	clock: Clock;
	logger: Logger;
	metrics: GatewayMetrics;
	/** Bytes that may be held before anyone is held back. */
	budget: number;
};

/** Buffers of one node. */
export class NodeBuffers {
	readonly #parts: NodeBuffersParts;
	readonly #account: BufferAccount<ReadAheadSink>;
	readonly #calls = new Map<ReadAheadSink, BufferedCall>();
	/** Sinks whose callers have not taken everything. */
	readonly #slow = new Set<ReadAheadSink>();
	#timer: Timer | undefined;

	constructor(parts: NodeBuffersParts) {
		this.#parts = parts;
		this.#account = new BufferAccount({budget: parts.budget, reserve});
	}

	/** Bytes held for all calls. */
	get held(): number {
		return this.#account.held;
	}

	/** Creates the sink of a call, which is counted until the response has closed. */
	open(target: HttpSink, call: BufferedCall): ReadAheadSink {
		const sink: ReadAheadSink = new ReadAheadSink(target, {
			add: (kind, bytes) => {
				this.#add(sink, kind, bytes);
			},
			subtract: (kind, bytes) => {
				this.#account.subtract(sink, kind, bytes);
			},
			isHeldBack: () => this.#account.isHeldBack(sink),
			onSlow: () => {
				this.#slow.add(sink);
				this.#schedule();
			},
			onCaughtUp: () => {
				this.#slow.delete(sink);
			},
			onClose: () => {
				this.#close(sink);
			},
		});
		this.#calls.set(sink, call);
		this.#account.open(sink, call.organisation);
		this.#add(sink, 'request', call.bodyLength);
		return sink;
	}

	#add(sink: ReadAheadSink, kind: BufferKind, bytes: number): void {
		this.#account.add(sink, kind, bytes, this.#parts.clock.readMonotonic());
		this.#cutOff();
	}

	#close(sink: ReadAheadSink): void {
		this.#account.close(sink);
		this.#calls.delete(sink);
		this.#slow.delete(sink);
	}

	#schedule(): void {
		this.#timer ??= this.#parts.clock.setTimer(reviewInterval, () => {
			this.#timer = undefined;
			this.#review();
		});
	}

	/** Cuts off callers, and resumes servers that are held back no longer. */
	#review(): void {
		this.#cutOff();
		for (const sink of this.#slow) {
			if (!this.#account.isHeldBack(sink)) {
				sink.resume();
			}
		}

		if (this.#slow.size > 0) {
			this.#schedule();
		}
	}

	#cutOff(): void {
		const {clock, logger, metrics} = this.#parts;
		for (const sink of this.#account.listCutOff(clock.readMonotonic())) {
			const call = this.#calls.get(sink);
			const bytes = this.#account.readHeld(sink);
			const {held} = this.#account;
			this.#close(sink);
			if (call !== undefined) {
				metrics.countCallerCutOff(call.service);
				logger.warn({
					event: 'caller_cut_off', request: call.requestId, service: call.service, organisation: call.organisation, bytes, held, budget: this.#parts.budget,
				}, 'cut off a slow caller: the node holds more bytes than its budget');
			}

			sink.abort();
		}
	}
}
