/** Supervision: children that throw are started again, with backoff and a budget. */
import {setMaxListeners} from 'node:events';
import {type Clock, waitFor} from './clock.js';
import {readErrorMessage} from './errors.js';
import type {Logger} from './log.js';

/** A long-running part of a process. */
export abstract class Child {
	/** Name in logs. */
	abstract readonly name: string;

	/**
	 * Runs until the signal is aborted.
	 *
	 * Throwing, or returning before the abort, makes the supervisor start it again;
	 * a child therefore rebuilds what it needs at the start of `run`.
	 */
	abstract run(signal: AbortSignal): Promise<void>;
}

const initialBackoff = 100;
const maxBackoff = 5000;
const defaultBudget = {restarts: 20, windowMilliseconds: 60_000};

/** Runs children side by side; past the restart budget of one, gives up on all and escalates. */
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

	/** Runs all children until the signal is aborted. Throws when a child's restart budget is spent. */
	override async run(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		// Every wait of every child listens to this one signal.
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
				throw new Error(`${child.name} failed ${restarts.length} times, the last time with: ${reason}`);
			}

			this.#logger.warn({
				event: 'child_restarted', child: child.name, reason, backoff,
			}, 'a child failed and is started again');
			await waitFor(this.#clock, backoff, signal);
			backoff = Math.min(maxBackoff, restarts.length <= 1 ? initialBackoff : backoff * 2);
		}
	}
}

async function runOnce(child: Child, signal: AbortSignal): Promise<string> {
	try {
		await child.run(signal);
		return 'returned before it was asked to stop';
	} catch (error) {
		return readErrorMessage(error);
	}
}
