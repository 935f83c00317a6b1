/**
 * The signals of the process: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.
 *
 * From the first line of the loader on they only have these meanings. What came during the start is handled after it. The grace period
 * of a stop counts from the signal, which a busy start notices late, so a stop in the start counts from the start of the process.
 */
import process from 'node:process';
import type {Logger} from '../common/index.js';
import {exitCodes} from './exit-codes.js';

/** Signals that the loader received, and a function that removes its handlers. */
type EarlySignals = {received: NodeJS.Signals[]; release: () => void};

/** Key in the global object; `scripts/gateway-loader.cjs` uses the same. */
const globalName = Symbol.for('cresshook.early-signals');

const handledSignals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

/** What the signals do. */
export type SignalActions = {
	/** `signalledAt` is the earliest time at which the signal may have been sent, by the monotonic clock in milliseconds, where it came during the start. */
	stop: (signalledAt?: number) => void;
	reload: () => void;
};

/** Monotonic time of the start of the process. */
const processStart = 0;

/** Handles the signals of this process. */
export class ProcessSignals {
	readonly #logger: Logger;
	#actions: SignalActions | undefined;
	#isStopping = false;
	#hasInterrupted = false;
	/** Signals received before the actions are known. */
	readonly #pending: NodeJS.Signals[] = [];

	constructor(logger: Logger) {
		this.#logger = logger;
		for (const name of handledSignals) {
			process.on(name, () => {
				this.#handle(name);
			});
		}

		const shared = globalThis as {[globalName]?: EarlySignals};
		const early = shared[globalName];
		shared[globalName] = undefined;
		early?.release();
		for (const name of early?.received ?? []) {
			this.#handle(name);
		}
	}

	/** Begins to act on signals, first on those received so far. */
	activate(actions: SignalActions): void {
		this.#actions = actions;
		for (const name of this.#pending.splice(0)) {
			this.#handle(name, processStart);
		}
	}

	#handle(name: NodeJS.Signals, signalledAt?: number): void {
		const isRepeatedInterrupt = name === 'SIGINT' && this.#hasInterrupted;
		this.#hasInterrupted ||= name === 'SIGINT';
		if (isRepeatedInterrupt) {
			this.#logger.warn({event: 'interrupted_twice'}, 'second SIGINT: the process ends at once');
			process.exit(exitCodes.failed); // eslint-disable-line unicorn/no-process-exit -- asked for at a terminal
		}

		if (this.#actions === undefined) {
			this.#pending.push(name);
			return;
		}

		if (name === 'SIGHUP') {
			this.#reload();
		} else {
			this.#stop(name, signalledAt);
		}
	}

	#reload(): void {
		if (this.#isStopping) {
			this.#logger.info({event: 'signal_ignored', signal: 'SIGHUP'}, 'the node is stopping; its settings are not reloaded');
			return;
		}

		this.#actions?.reload();
	}

	#stop(name: NodeJS.Signals, signalledAt: number | undefined): void {
		if (this.#isStopping) {
			this.#logger.info({event: 'signal_ignored', signal: name}, 'the node is stopping already');
			return;
		}

		this.#isStopping = true;
		this.#actions?.stop(signalledAt);
	}
}
