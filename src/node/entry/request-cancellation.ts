/** Cancels a request when its deadline passes, its caller disconnects, or the node stops. */
import {createFailure, type Clock, type Failure} from '../../common/index.js';

/** Cancellation of one request. Call `close` when the request has ended. */
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

	/** Aborted when the request is cancelled. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Returns the failure for the cause of the cancellation; undefined if the request is not cancelled. */
	findFailure(mayHaveRun: boolean): Failure | undefined {
		switch (this.#cause) {
			case undefined: {
				return undefined;
			}

			case 'deadline': {
				return mayHaveRun
					? createFailure('bound_passed_running', 'the time limit passed while the request was running; it was cancelled')
					: createFailure('bound_passed_waiting', 'the time limit passed before the request could be sent to a backend server');
			}

			case 'disconnected': {
				return createFailure('caller_gone', 'the caller closed the connection; the request was cancelled', {ran: mayHaveRun ? 'partly' : 'no'});
			}

			case 'stopped': {
				return createFailure('node_stopped', 'the node is stopping immediately', {ran: mayHaveRun ? 'partly' : 'no'});
			}
		}
	}

	/** Removes the timer and the listeners. */
	close(): void {
		this.#timer.cancel();
		this.#unsubscribe();
	}

	#end(cause: 'deadline' | 'disconnected' | 'stopped'): void {
		this.#cause ??= cause;
		this.#controller.abort();
	}
}
