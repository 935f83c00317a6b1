/**
 * Estimates which prompt prefixes each backend server has cached. Pure.
 *
 * Prefixes are recorded when a prompt is sent and expire as more tokens are sent to the server, like its own cache.
 * Indexed by prefix, so that a lookup visits only servers that have it rather than all servers.
 */
import type {BackendServerId} from '../../common/index.js';

/** The prefixes of a prompt, each twice as long as the previous one. */
export type PromptPrefixes = {
	/** Hash of each prefix, over all its bytes. */
	hashes: string[];
	/** Estimated tokens of the first prefix. */
	firstTokens: number;
};

/** Prefixes of a prompt that cannot be cached. */
export const noPrefixes: PromptPrefixes = {hashes: [], firstTokens: 0};

/** Maximum number of prefixes kept per pool; the least recently used are evicted. */
const maxPrefixes = 65_536;

/** A prefix counts as cached until this many further tokens have been sent to the server. */
const cacheWindowTokens = 450_000;

/** Estimated cache contents of the servers of a pool. */
export class PrefixIndex {
	/** For each prefix and server, the total tokens sent to the server when the prefix was last used. */
	readonly #prefixes = new Map<string, Map<BackendServerId, number>>();
	/** Total tokens sent to each server. */
	readonly #sent = new Map<BackendServerId, number>();

	/** Estimates the cached tokens of a prompt on each server; servers with none are omitted. */
	findCached(prefixes: PromptPrefixes): Map<BackendServerId, number> {
		const cached = new Map<BackendServerId, number>();
		for (const [index, hash] of prefixes.hashes.entries()) {
			for (const [server, usedAt] of this.#prefixes.get(hash) ?? []) {
				if ((this.#sent.get(server) ?? 0) - usedAt < cacheWindowTokens) {
					cached.set(server, prefixes.firstTokens * (2 ** index));
				}
			}
		}

		return cached;
	}

	/** Records that a prompt was sent to a server. */
	recordSent(server: BackendServerId, promptTokens: number, hashes: string[]): void {
		const sent = (this.#sent.get(server) ?? 0) + promptTokens;
		this.#sent.set(server, sent);
		for (const hash of hashes) {
			const servers = this.#prefixes.get(hash) ?? new Map<BackendServerId, number>();
			servers.set(server, sent);
			// Deleted before it is set, so that the map is ordered by last use.
			this.#prefixes.delete(hash);
			this.#prefixes.set(hash, servers);
		}

		for (const hash of this.#prefixes.keys()) {
			if (this.#prefixes.size <= maxPrefixes) {
				break;
			}

			this.#prefixes.delete(hash);
		}
	}

	/** Removes a server whose cache is lost because it was restarted or has left. */
	removeServer(server: BackendServerId): void {
		this.#sent.delete(server);
		for (const servers of this.#prefixes.values()) {
			servers.delete(server);
		}
	}
}
