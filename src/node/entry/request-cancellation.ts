/** What ends a request from outside: its time bound, a caller who is gone, a node that stops at once. */
import {createFailure, type Clock, type Failure} from '../../common/index.js';

/** One request's bound. Call `close` when the request has ended. */
export class RequestCancellation {
	readonly #controller = new AbortController();
	readonly #timer: {cancel(): void};
	readonly #unsubscribe: () => void;
	#cause: 'deadline' | 'disconnected' | 'stopped' | undefined;

	constructor(clock: Clock, deadline: number, disconnected: AbortSignal, stopped: AbortSignal) {
		this.#timer = clock.setTimer(Math.max(0, deadline - clock.readMonotonic()), () => {
			this.#end('deadline');
		});
		const onDisconnected = () => {
			this.#end('disconnected');
		};

		const onStopped = () => {
			this.#end('stopped');
		};

		disconnected.addEventListener('abort', onDisconnected, {once: true});
		stopped.addEventListener('abort', onStopped, {once: true});
		this.#unsubscribe = () => {
			disconnected.removeEventListener('abort', onDisconnected);
			stopped.removeEventListener('abort', onStopped);
		};

		if (disconnected.aborted) {
			this.#end('disconnected');
		}

		if (stopped.aborted) {
			this.#end('stopped');
		}
	}

	/** Fires when the request has to end. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** The failure that goes with the cause; undefined while the request may go on. */
	findFailure(mayHaveRun: boolean): Failure | undefined {
		switch (this.#cause) {
			case undefined: {
				return undefined;
			}

			case 'deadline': {
				return mayHaveRun
					? createFailure('bound_passed_running', 'the time bound passed while the request ran; its work was cancelled')
					: createFailure('bound_passed_waiting', 'the time bound passed before the request could be sent');
			}

			case 'disconnected': {
				return createFailure('caller_gone', 'the caller closed the connection; the work was cancelled', {ran: mayHaveRun ? 'partly' : 'no'});
			}

			case 'stopped': {
				return createFailure('node_stopped', 'the node was told to stop at once', {ran: mayHaveRun ? 'partly' : 'no'});
			}
		}
	}

	/** Stops watching. */
	close(): void {
		this.#timer.cancel();
		this.#unsubscribe();
	}

	#end(cause: 'deadline' | 'disconnected' | 'stopped'): void {
		this.#cause ??= cause;
		this.#controller.abort();
	}
}
