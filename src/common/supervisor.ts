/** Supervision: restarts failed children with exponential backoff and a restart budget. */
import {setMaxListeners} from 'node:events';
import {type Clock, waitFor} from './clock.js';
import {readErrorMessage} from './errors.js';
import type {Logger} from './log.js';

/** Long-running task of a process. */
export abstract class Child {
	/** Name of the child in log lines. */
	abstract readonly name: string;

	/**
	 * Runs until the signal is aborted.
	 *
	 * The supervisor restarts a child that throws or returns before the abort,
	 * so `run` must initialise its own state.
	 */
	abstract run(signal: AbortSignal): Promise<void>;
}

const initialBackoff = 100;
const maxBackoff = 5000;
const defaultBudget = {restarts: 20, windowMilliseconds: 60_000};

/** Runs children concurrently; stops all of them and throws when one exceeds its restart budget. */
export class Supervisor extends Child {
	override readonly name: string;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #children: Child[] = [];
	readonly #budget: {restarts: number; windowMilliseconds: number};

	constructor(name: string, clock: Clock, logger: Logger, budget = defaultBudget) {
		super();
		this.name = name;
		this.#clock = clock;
		this.#logger = logger;
		this.#budget = budget;
	}

	/** Adds a child; call before `run`. */
	addChild(child: Child): void {
		this.#children.push(child);
	}

	/** Runs all children until the signal is aborted. Throws when a child exceeds its restart budget. */
	override async run(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		// All waits of all children listen to this signal: disable the warning about many listeners.
		setMaxListeners(0, controller.signal);
		const stop = () => {
			controller.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		if (signal.aborted) {
			stop();
		}

		try {
			await Promise.all(this.#children.map(async child => this.#keepRunning(child, controller)));
		} finally {
			signal.removeEventListener('abort', stop);
		}
	}

	async #keepRunning(child: Child, controller: AbortController): Promise<void> {
		const {signal} = controller;
		let backoff = initialBackoff;
		const restarts: number[] = [];
		while (!signal.aborted) {
			const reason = await runOnce(child, signal);
			if (signal.aborted) {
				return;
			}

			const now = this.#clock.readMonotonic();
			restarts.push(now);
			while (restarts[0] < now - this.#budget.windowMilliseconds) {
				restarts.shift();
			}

			if (restarts.length > this.#budget.restarts) {
				controller.abort();
				throw new Error(`${child.name} failed ${restarts.length} times, last error: ${reason}`);
			}

			this.#logger.warn({
				event: 'child_restarted', child: child.name, reason, backoff,
			}, 'child failed and will be restarted');
			await waitFor(this.#clock, backoff, signal);
			backoff = Math.min(maxBackoff, restarts.length <= 1 ? initialBackoff : backoff * 2);
		}
	}
}

async function runOnce(child: Child, signal: AbortSignal): Promise<string> {
	try {
		await child.run(signal);
		return 'returned before the abort signal';
	} catch (error) {
		return readErrorMessage(error);
	}
}
