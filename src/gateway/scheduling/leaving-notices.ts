/** What servers of one service say of their leaving: tells the other nodes, which cannot know it from the source during its outages. */
import type {BackendServerId, BoxId} from '../../common/index.js';
import type {ServiceParts} from './service-parts.js';

/** Leaving servers of one service on this node. */
export class LeavingNotices {
	readonly #parts: ServiceParts;

	constructor(parts: ServiceParts) {
		this.#parts = parts;
	}

	/** Records that a server has said in an answer to this node that it is leaving. */
	recordAnswer(server: BackendServerId): void {
		const {service, state, updates} = this.#parts;
		if (state.markServerLeaving(server, 'answer')) {
			updates.sendToSuccessors(service, true, {leaving: [server]});
		}
	}

	/** Merges the leaving servers that another node knows. */
	merge(servers: BackendServerId[], origin: BoxId): void {
		for (const server of servers) {
			this.#parts.state.markServerLeaving(server, `node ${origin}`);
		}
	}

	/** Lists the leaving servers that other nodes cannot know from the source. */
	list(): BackendServerId[] {
		return this.#parts.state.listLeavingUnannounced(this.#parts.service);
	}

	/** Sends these leaving servers to all nodes: an earlier datagram may have been lost. */
	replicate(): void {
		const {service, updates} = this.#parts;
		const leaving = this.list();
		if (leaving.length > 0) {
			updates.sendToSuccessors(service, true, {leaving});
		}
	}
}
