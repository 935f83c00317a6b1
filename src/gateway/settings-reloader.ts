/** Reloads a node's settings file on a signal and when the file changes, and logs the result. */
import {stat} from 'node:fs/promises';
import {waitFor, type Clock, type Logger} from '../common/index.js';
import {formatProblem} from '../settings/index.js';
import {loadGatewaySettings, type GatewaySettings} from './gateway-settings.js';
import type {SettingsChange} from './settings-change.js';

/** Interval between two polls of the file, in milliseconds: a change counts once two polls in a row find the same state, since a file may be written in parts. */
const pollInterval = 2000;

/** Dependencies of a reloader. */
export type SettingsReloaderParts = {
	path: string;
	clock: Clock;
	logger: Logger;
	/** Determines the effect of changed settings without applying them. */
	compare: (changed: GatewaySettings) => SettingsChange;
	/** Applies the settings that can change at run time. */
	change: (changed: GatewaySettings) => void;
};

/** Reloads the settings file and applies what can change at run time. */
export class SettingsReloader {
	readonly #parts: SettingsReloaderParts;
	/** State of the file at the last reload, so that a reload by signal is not repeated by the poll. */
	#appliedStamp: string | undefined;

	constructor(parts: SettingsReloaderParts) {
		this.#parts = parts;
	}

	/** Reads the file and applies the settings that can change; an invalid file changes nothing. */
	async reload(cause: 'signal' | 'file'): Promise<void> {
		this.#appliedStamp = await this.#readStamp();
		const loaded = await loadGatewaySettings(this.#parts.path);
		loaded.caseOf({
			Left: problems => {
				this.#parts.logger.error({
					event: 'reload_refused', cause, problems: problems.map(problem => formatProblem(problem)),
				}, 'the changed settings file is invalid; the old settings stay in force');
			},
			Right: changed => {
				this.#applyChange(changed, cause);
			},
		});
	}

	/** Polls the file until the signal is aborted. A missing file is no change, as it may be about to be replaced. */
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

		// The log level itself may change: the line is written while the level allows it.
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

	return taken.length === 0 ? 'the settings file matches the settings in force' : 'the changed settings are in force';
}
