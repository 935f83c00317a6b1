/**
 * Which prompt prefixes each backend server is likely to have cached. Pure.
 *
 * It is filled by what was sent there; what a server has been sent since pushes
 * older prefixes out, as its own cache does.
 */
import type {BackendServerId} from '../../common/index.js';

/** One prefix of a prompt. */
export type PrefixBlock = {
	/** Hash of all bytes from the beginning to the end of the prefix. */
	hash: string;
	/** Estimated tokens of the prefix. */
	tokens: number;
};

type CachedPrefix = {
	/** Tokens sent to the server before this prefix was last used. */
	usedAt: number;
};

type ServerCache = {
	prefixes: Map<string, CachedPrefix>;
	/** Tokens sent to the server in all. */
	sent: number;
};

/** Prefixes remembered for one server. */
const mostPrefixes = 4096;

/** Likely cache contents of the servers of a pool. */
export class PrefixIndex {
	readonly #servers = new Map<BackendServerId, ServerCache>();

	/** Tokens of a prompt that a server is likely to have cached. Blocks run from the shortest prefix to the longest. */
	estimateCached(server: BackendServerId, capacity: number, blocks: PrefixBlock[]): number {
		const cache = this.#servers.get(server);
		if (cache === undefined) {
			return 0;
		}

		for (let index = blocks.length - 1; index >= 0; index--) {
			const known = cache.prefixes.get(blocks[index].hash);
			if (known !== undefined && cache.sent - known.usedAt < capacity) {
				return blocks[index].tokens;
			}
		}

		return 0;
	}

	/** Notes that a prompt was sent to a server. */
	recordSent(server: BackendServerId, promptTokens: number, blocks: PrefixBlock[]): void {
		let cache = this.#servers.get(server);
		if (cache === undefined) {
			cache = {prefixes: new Map(), sent: 0};
			this.#servers.set(server, cache);
		}

		cache.sent += promptTokens;
		for (const block of blocks) {
			// Deleted first, so that the map's order is that of last use.
			cache.prefixes.delete(block.hash);
			cache.prefixes.set(block.hash, {usedAt: cache.sent});
		}

		for (const hash of cache.prefixes.keys()) {
			if (cache.prefixes.size <= mostPrefixes) {
				break;
			}

			cache.prefixes.delete(hash);
		}
	}

	/** Forgets a server whose cache is gone: it was restarted or left. */
	forget(server: BackendServerId): void {
		this.#servers.delete(server);
	}
}
