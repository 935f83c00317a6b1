/** The answer of a node that forwards a request, given to the exchange that waits for the server's answer. */
import {Buffer} from 'node:buffer';
import {readErrorMessage, type BoxId} from '../../common/index.js';
import type {BackendExchange, ExchangeConnection, PooledHandler} from '../calls/index.js';
import type {HeaderFields} from '../wire.js';
import {
	readRelayOutcome, restoreAnswerHead, type RelayOutcome, type UnsentOutcome,
} from './relay-wire.js';

/** Callbacks of a relayed exchange. */
export type RelayListener = {
	/** The server has begun to answer. */
	onAnswer: () => void;
	/** Nothing was sent to the server; the exchange still needs an answer. */
	onUnsent: (outcome: UnsentOutcome, reason: string) => void;
	/** The request may have run, and there is no complete answer. */
	onLost: (reason: string) => void;
};

/** Maximum size of the reason that is read from an answer without the server's, in bytes. */
const maxMessageBytes = 1024;

type Controller = Parameters<NonNullable<PooledHandler['onRequestStart']>>[0];

/** Handler of one relayed exchange. */
export class RelayExchange implements PooledHandler {
	readonly #exchange: BackendExchange;
	readonly #listener: RelayListener;
	#message: Uint8Array = new Uint8Array();
	#connection: ExchangeConnection | undefined;
	#outcome: RelayOutcome | undefined;
	#isStarted = false;
	#isEnded = false;

	constructor(exchange: BackendExchange, relay: BoxId, listener: RelayListener) {
		this.#exchange = exchange;
		this.#listener = listener;
		exchange.relay = relay;
	}

	attach(connection: ExchangeConnection): void {
		this.#connection = connection;
		this.#exchange.attach(connection);
	}

	onRequestStart(controller: Controller): void {
		this.#isStarted = true;
		this.#exchange.onRequestStart(controller);
	}

	onResponseStart(controller: Controller, status: number, headers: HeaderFields): void {
		this.#outcome = readRelayOutcome(headers);
		if (this.#outcome === 'answered') {
			this.#listener.onAnswer();
			this.#exchange.onResponseStart(controller, status, restoreAnswerHead(headers));
		}
	}

	onResponseData(controller: Controller, chunk: Uint8Array): void {
		if (this.#outcome === 'answered') {
			this.#exchange.onResponseData(controller, chunk);
		} else {
			this.#message = Buffer.concat([this.#message, chunk.subarray(0, maxMessageBytes - this.#message.length)]);
		}
	}

	onResponseEnd(controller: Controller): void {
		const reason = Buffer.from(this.#message).toString();
		if (this.#outcome === 'answered') {
			this.#exchange.onResponseEnd();
		} else if (this.#outcome === 'lost') {
			this.#listener.onLost(reason);
			this.#exchange.onResponseError(controller, new Error(reason));
		} else {
			this.#endUnsent(this.#outcome ?? 'declined', reason);
		}
	}

	onResponseError(controller: Controller, error: Error): void {
		const reason = readErrorMessage(error);
		if (!this.#isStarted) {
			this.#endUnsent('unconnected', reason);
		} else if (this.#outcome === undefined || this.#outcome === 'answered' || this.#outcome === 'lost') {
			if (!this.#exchange.isAborted) {
				this.#listener.onLost(reason);
			}

			this.#exchange.onResponseError(controller, error);
		} else {
			this.#endUnsent(this.#outcome, reason);
		}
	}

	#endUnsent(outcome: UnsentOutcome, reason: string): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#connection?.onDone();
		this.#exchange.resetSend();
		this.#exchange.relay = undefined;
		// The client of this connection may still be handling the error.
		queueMicrotask(() => {
			this.#listener.onUnsent(outcome, reason);
		});
	}
}
