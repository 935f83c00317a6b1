/**
 * Keeps the fleet view up to date: lists all objects once, then watches for changes.
 *
 * After a failure it resumes the watch from the revision of the view, and lists again if that revision has expired.
 */
import {
	Child, waitFor, type Clock, type Logger,
} from '../../common/index.js';
import type {Platform} from '../../store/index.js';
import type {FleetView} from './fleet-view.js';

const initialBackoff = 100;
const maxBackoff = 5000;

/** Replicates the objects of the platform into the fleet view. */
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

	/** Whether a watch is open, so that the view is up to date. */
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
			this.#logger.info({event: 'watch_ended', reason: failure.message, revision: this.#view.revision}, 'platform watch ended');
			// A watch that lasted long does not indicate an outage, so the backoff is reset.
			const watchDuration = this.#clock.readMonotonic() - startedAt;
			backoff = await this.#pause(watchDuration > maxBackoff ? initialBackoff : backoff, signal);
		}
	}

	async #list(): Promise<boolean> {
		const result = await this.#platform.listObjects();
		return result.caseOf({
			Left: failure => {
				this.#logger.warn({event: 'list_failed', reason: failure.message}, 'listing the objects of the platform failed');
				return false;
			},
			Right: list => {
				this.#view.applyList(list);
				return true;
			},
		});
	}

	/** Waits for 50 to 100% of the backoff, so that the nodes do not reconnect simultaneously; returns the next backoff. */
	async #pause(backoff: number, signal: AbortSignal): Promise<number> {
		await waitFor(this.#clock, backoff * (0.5 + (this.#random() / 2)), signal);
		return Math.min(maxBackoff, backoff * 2);
	}
}
