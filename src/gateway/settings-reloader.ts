/** Reads a node's settings file again, on a signal and when it changes, and says what came of it. */
import {stat} from 'node:fs/promises';
import {waitFor, type Clock, type Logger} from '../common/index.js';
import {formatProblem} from '../settings/index.js';
import {loadGatewaySettings, type GatewaySettings} from './gateway-settings.js';
import type {SettingsChange} from './settings-change.js';

/** Pause between two looks at the file, in milliseconds: a change counts when two looks in a row find the same, since a file may be written in parts. */
const pollInterval = 2000;

/** What a reloader needs. */
export type SettingsReloaderParts = {
	path: string;
	clock: Clock;
	logger: Logger;
	/** What a change would bring, and the change itself. */
	compare: (changed: GatewaySettings) => SettingsChange;
	change: (changed: GatewaySettings) => void;
};

/** Takes over what a running node can. */
export class SettingsReloader {
	readonly #parts: SettingsReloaderParts;
	/** The file as it was read last, so that a change that a signal has told of is not told again. */
	#appliedStamp: string | undefined;

	constructor(parts: SettingsReloaderParts) {
		this.#parts = parts;
	}

	/** Reads the file and takes over what can be; a wrong file changes nothing. */
	async reload(cause: 'signal' | 'file'): Promise<void> {
		this.#appliedStamp = await this.#readStamp();
		const loaded = await loadGatewaySettings(this.#parts.path);
		loaded.caseOf({
			Left: problems => {
				this.#parts.logger.error({
					event: 'reload_refused', cause, problems: problems.map(problem => formatProblem(problem)),
				}, 'the changed settings file is wrong; the old settings stay in force');
			},
			Right: changed => {
				this.#applyChange(changed, cause);
			},
		});
	}

	/** Looks at the file until the signal is aborted. A file that is gone is no change: it may be put in place again. */
	async watch(signal: AbortSignal): Promise<void> {
		this.#appliedStamp = await this.#readStamp();
		let previous = this.#appliedStamp;
		while (!signal.aborted) {
			await waitFor(this.#parts.clock, pollInterval, signal);
			const stamp = await this.#readStamp();
			if (stamp !== undefined && stamp === previous && stamp !== this.#appliedStamp && !signal.aborted) {
				await this.reload('file');
			}

			previous = stamp;
		}
	}

	#applyChange(changed: GatewaySettings, cause: 'signal' | 'file'): void {
		const {logger, compare, change} = this.#parts;
		const {taken, waiting} = compare(changed);
		const logReload = () => {
			logger.info({
				event: 'reloaded', cause, taken, waiting,
			}, describeReload(taken, waiting));
		};

		// The level itself may be what changes: the line is written at the one that shows it.
		if (logger.isLevelEnabled('info')) {
			logReload();
			change(changed);
		} else {
			change(changed);
			logReload();
		}
	}

	async #readStamp(): Promise<string | undefined> {
		try {
			const {mtimeMs, size, ino} = await stat(this.#parts.path);
			return `${mtimeMs} ${size} ${ino}`;
		} catch {
			return undefined;
		}
	}
}

function describeReload(taken: string[], waiting: string[]): string {
	if (waiting.length > 0) {
		return taken.length === 0 ? 'the changed settings take effect at the next start; start the node again' : 'a part of the changed settings is in force; the rest takes effect at the next start';
	}

	return taken.length === 0 ? 'the settings file says what is in force' : 'the changed settings are in force';
}
