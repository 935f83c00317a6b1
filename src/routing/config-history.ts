/** Keeps the newest versions of the configuration, so that other nodes can be sent changes only. */
import {
	applyConfigChanges, computeConfigChanges, reuseEqualRoutes, type ConfigChanges,
} from './config-changes.js';
import type {RoutingConfig} from './model.js';

/** Versions kept; a node that is further behind gets the whole configuration. Each version takes 16 kB of references for 2,000 routes. */
const maxVersions = 12;

/** A bounded list of configuration versions, newest last. */
export class ConfigHistory {
	readonly #versions: RoutingConfig[] = [];

	/** Adds a version newer than all others; returns it with the routes it shares with the previous one. */
	add(config: RoutingConfig): RoutingConfig {
		const shared = reuseEqualRoutes(this.#versions.at(-1), config);
		this.#versions.push(shared);
		if (this.#versions.length > maxVersions) {
			this.#versions.shift();
		}

		return shared;
	}

	/** Computes the changes since a version; the whole configuration when that version is no longer kept. */
	computeChanges(since: number): ConfigChanges | undefined {
		const newest = this.#versions.at(-1);
		return newest === undefined || newest.version <= since ? undefined : computeConfigChanges(this.#find(since), newest);
	}

	/** Applies another node's changes; undefined when the version they start from is not kept here. */
	applyChanges(changes: ConfigChanges): RoutingConfig | undefined {
		return applyConfigChanges(this.#find(changes.from), changes);
	}

	#find(version: number): RoutingConfig | undefined {
		return this.#versions.find(config => config.version === version);
	}
}
