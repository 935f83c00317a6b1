/**
 * What a node tells others of its view.
 *
 * Servers and configuration are told apart: a server that leaves must be known within the time of a message, and
 * must not wait behind thousands of routes.
 */
import type {FleetState} from '../../routing/index.js';
import {formatPacked, type PackedText} from '../../rpc/packed-text.js';

/** Answers to nodes that are behind. */
export class ViewResponder {
	readonly #state: FleetState;
	/** Texts of what changed up to the newest version, by the version they go on from: made once, not once for each who asks. */
	readonly #packedChanges = new Map<number, PackedText>();
	#packedVersion = 0;

	constructor(state: FleetState) {
		this.#state = state;
	}

	/** The servers up to a later revision than the one known; undefined when there is none. */
	takeServers({revision}: {revision: number}): PackedText | undefined {
		const servers = this.#state.getServersSnapshot(revision);
		return servers === undefined ? undefined : formatPacked(servers);
	}

	/** What changed in the configuration since the version known; undefined when nothing has. */
	takeConfig({version}: {version: number}): PackedText | undefined {
		if (this.#packedVersion !== this.#state.configVersion) {
			this.#packedChanges.clear();
			this.#packedVersion = this.#state.configVersion;
		}

		const cached = this.#packedChanges.get(version);
		const changes = cached === undefined ? this.#state.getConfigChanges(version) : undefined;
		if (changes === undefined) {
			return cached;
		}

		const packed = formatPacked(changes);
		this.#packedChanges.set(version, packed);
		return packed;
	}
}
