/**
 * Answers requests of other nodes for this node's view.
 *
 * Servers and configuration are separate requests: the removal of a leaving server must spread within one message's time
 * and must not queue behind thousands of routes.
 */
import type {FleetState} from '../../routing/index.js';
import {formatPacked, type PackedText} from '../../rpc/packed-text.js';

/** Serves servers and configuration changes to nodes that are behind. */
export class ViewResponder {
	readonly #state: FleetState;
	/** Packed changes up to the newest version, by the version they are based on: packed once rather than for each request. */
	readonly #packedChanges = new Map<number, PackedText>();
	#packedVersion = 0;

	constructor(state: FleetState) {
		this.#state = state;
	}

	/** The servers, when their revision is newer than the requester's; undefined otherwise. */
	takeServers({revision}: {revision: number}): PackedText | undefined {
		const servers = this.#state.getServersSnapshot(revision);
		return servers === undefined ? undefined : formatPacked(servers);
	}

	/** The changes of the configuration since the requester's version; undefined when there are none. */
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
