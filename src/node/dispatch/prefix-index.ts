/**
 * Which prompt prefixes each backend server is likely to have cached. Pure.
 *
 * It is filled by what was sent there; what a server has been sent since pushes
 * older prefixes out, as its own cache does. Kept by prefix, so that a lookup
 * costs a step a prefix and server that has it, not one a server.
 */
import type {BackendServerId} from '../../common/index.js';

/** The prefixes of a prompt, each twice as long as the one before. */
export type PromptPrefixes = {
	/** Hashes of all bytes from the beginning to the end of each prefix. */
	hashes: string[];
	/** Estimated tokens of the first prefix. */
	firstTokens: number;
};

/** A prompt of which nothing can be cached. */
export const noPrefixes: PromptPrefixes = {hashes: [], firstTokens: 0};

/** Prefixes remembered for a pool. */
const maxPrefixes = 65_536;

/** A prefix counts as cached until this many tokens have been sent to the server after it. */
const cacheWindowTokens = 450_000;

/** Likely cache contents of the servers of a pool. */
export class PrefixIndex {
	/** For each prefix, the tokens that each server had been sent when it last saw it. */
	readonly #prefixes = new Map<string, Map<BackendServerId, number>>();
	/** Tokens sent to each server in all. */
	readonly #sent = new Map<BackendServerId, number>();

	/** Tokens of a prompt that each server is likely to have cached; servers with none are left out. */
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

	/** Notes that a prompt was sent to a server. */
	recordSent(server: BackendServerId, promptTokens: number, hashes: string[]): void {
		const sent = (this.#sent.get(server) ?? 0) + promptTokens;
		this.#sent.set(server, sent);
		for (const hash of hashes) {
			const servers = this.#prefixes.get(hash) ?? new Map<BackendServerId, number>();
			servers.set(server, sent);
			// Deleted first, so that the map's order is that of last use.
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

	/** Forgets a server whose cache is gone: it was restarted or left. */
	removeServer(server: BackendServerId): void {
		this.#sent.delete(server);
		for (const servers of this.#prefixes.values()) {
			servers.delete(server);
		}
	}
}
