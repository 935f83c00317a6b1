/** The newest versions of the configuration, so that what changed since any of them can be told. */
import {
	applyConfigChanges, computeConfigChanges, reuseEqualRoutes, type ConfigChanges,
} from './config-changes.js';
import type {RoutingConfig} from './model.js';

/** Versions that are remembered: a node that missed more is told everything. Each costs 16 kB of references for 2,000 routes. */
const maxVersions = 12;

/** Versions of the configuration, the newest last. */
export class ConfigHistory {
	readonly #versions: RoutingConfig[] = [];

	/** Adds a version that is newer than all others; returns it with what it shares with the one before. */
	add(config: RoutingConfig): RoutingConfig {
		const shared = reuseEqualRoutes(this.#versions.at(-1), config);
		this.#versions.push(shared);
		if (this.#versions.length > maxVersions) {
			this.#versions.shift();
		}

		return shared;
	}

	/** What has changed since a version; everything since one that is not remembered. */
	computeChanges(since: number): ConfigChanges | undefined {
		const newest = this.#versions.at(-1);
		return newest === undefined || newest.version <= since ? undefined : computeConfigChanges(this.#find(since), newest);
	}

	/** The version that another node's changes lead to; undefined when the version they go on from is not remembered. */
	applyChanges(changes: ConfigChanges): RoutingConfig | undefined {
		return applyConfigChanges(this.#find(changes.from), changes);
	}

	#find(version: number): RoutingConfig | undefined {
		return this.#versions.find(config => config.version === version);
	}
}
