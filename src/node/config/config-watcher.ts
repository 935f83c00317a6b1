/**
 * Keeps the fleet view up to date: lists once, then watches from the list's version.
 *
 * To come back after a failure it needs only the view: it goes on from the
 * revision in force, and lists again when that has expired.
 */
import {
	Child, waitFor, type Clock, type Logger,
} from '../../common/index.js';
import type {Platform} from '../../store/index.js';
import type {FleetView} from './fleet-view.js';

const initialBackoff = 100;
const maxBackoff = 5000;

/** Follows the platform's objects. */
export class ConfigWatcher extends Child {
	override readonly name = 'config-watcher';
	readonly #platform: Platform;
	readonly #view: FleetView;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #random: () => number;
	#isCurrent = false;

	constructor(platform: Platform, view: FleetView, parts: {clock: Clock; logger: Logger; random: () => number}) {
		super();
		this.#platform = platform;
		this.#view = view;
		this.#clock = parts.clock;
		this.#logger = parts.logger;
		this.#random = parts.random;
	}

	/** Whether a watch is open: the node knows what is in force. */
	get isCurrent(): boolean {
		return this.#isCurrent;
	}

	override async run(signal: AbortSignal): Promise<void> {
		let backoff = initialBackoff;
		let isListRequired = this.#view.revision === 0;
		while (!signal.aborted) {
			if (isListRequired && !await this.#list()) {
				backoff = await this.#pause(backoff, signal);
				continue;
			}

			isListRequired = false;
			const startedAt = this.#clock.readMonotonic();
			const failure = await this.#platform.watchObjects(this.#view.revision, {
				onOpen: () => {
					this.#isCurrent = true;
				},
				onEvent: event => {
					this.#view.applyEvent(event);
				},
			}, signal);
			if (signal.aborted) {
				return;
			}

			this.#isCurrent = false;
			isListRequired = failure.kind === 'expired';
			this.#logger.info({event: 'watch_ended', reason: failure.message, revision: this.#view.revision}, 'watch of the platform ended');
			// A watch that held for long is no sign of an outage: start again from the shortest wait.
			const watchDuration = this.#clock.readMonotonic() - startedAt;
			backoff = await this.#pause(watchDuration > maxBackoff ? initialBackoff : backoff, signal);
		}
	}

	async #list(): Promise<boolean> {
		const result = await this.#platform.listObjects();
		return result.caseOf({
			Left: failure => {
				this.#logger.warn({event: 'list_failed', reason: failure.message}, 'the platform did not answer');
				return false;
			},
			Right: list => {
				this.#view.applyList(list);
				return true;
			},
		});
	}

	/** Waits between half and all of the backoff, so that nodes do not come back all at once. */
	async #pause(backoff: number, signal: AbortSignal): Promise<number> {
		await waitFor(this.#clock, backoff * (0.5 + (this.#random() / 2)), signal);
		return Math.min(maxBackoff, backoff * 2);
	}
}
