/** An exchange on this node's own connection to a server, which records whether the server is reached. */
import type {LinkFailure} from '../../routing/index.js';
import type {BackendExchange, ExchangeConnection, PooledHandler} from '../calls/index.js';
import type {HeaderFields} from '../wire.js';

/** Callbacks of a direct exchange. */
export type DirectListener = {
	/** The server has answered; `isNew` on a connection that was opened for the request. */
	onAnswer: (isNew: boolean) => void;
	onFailure: (failure: LinkFailure) => void;
	/** Sends the request another way, since it was not sent; without one the exchange ends with the error. */
	takeOtherWay?: () => void;
};

type Controller = Parameters<NonNullable<PooledHandler['onRequestStart']>>[0];

/** Handler of one direct exchange. */
export class DirectExchange implements PooledHandler {
	readonly #exchange: BackendExchange;
	readonly #listener: DirectListener;
	#connection: ExchangeConnection | undefined;
	#isStarted = false;

	constructor(exchange: BackendExchange, listener: DirectListener) {
		this.#exchange = exchange;
		this.#listener = listener;
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
		this.#listener.onAnswer(this.#connection?.isNew?.() ?? false);
		this.#exchange.onResponseStart(controller, status, headers);
	}

	onResponseData(controller: Controller, chunk: Uint8Array): void {
		this.#exchange.onResponseData(controller, chunk);
	}

	onResponseEnd(): void {
		this.#exchange.onResponseEnd();
	}

	onResponseError(controller: Controller, error: Error): void {
		if (this.#exchange.isAborted) {
			this.#exchange.onResponseError(controller, error);
			return;
		}

		this.#listener.onFailure(this.#isStarted ? 'broken' : 'connect');
		const {takeOtherWay} = this.#listener;
		if (!this.#isStarted && takeOtherWay !== undefined) {
			this.#connection?.onDone();
			// The client of this connection is still handling the error.
			queueMicrotask(takeOtherWay);
			return;
		}

		this.#exchange.onResponseError(controller, error);
	}
}
