/** Sends news of a service to other nodes, in datagrams that may be lost. */
import type {BoxId, ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/peer-beat.js';
import type {PeerSocket} from '../peers/peer-socket.js';
import type {Peers} from '../peers/peers.js';
import type {PlanNews} from '../peers/plan-news.js';
import type {DeciderChoice} from './decider-choice.js';

/** What news holds besides its service and its sender. */
export type NewsContent = Partial<Omit<PlanNews, 'service' | 'node'>>;

/** Sends news of one node. */
export class NewsSender {
	readonly #socket: PeerSocket;
	readonly #peers: Peers;
	readonly #deciders: DeciderChoice;
	readonly #self: () => BoxId;

	constructor(socket: PeerSocket, peers: Peers, deciders: DeciderChoice, self: () => BoxId) {
		this.#socket = socket;
		this.#peers = peers;
		this.#deciders = deciders;
		this.#self = self;
	}

	/** Live nodes whose process was discovered within the last `age` milliseconds. */
	listNewNodes(age: number): Peer[] {
		return this.#peers.listNew(age);
	}

	/** Sends news to a node by its name, if it lives. */
	sendToNode(name: BoxId | undefined, service: ServiceName, content: NewsContent): void {
		const peer = name === undefined ? undefined : this.#peers.findLive(name);
		this.sendTo(peer === undefined ? [] : [peer], service, content);
	}

	/** Sends news to the next deciding node, or to all ready nodes. */
	sendOn(service: ServiceName, isForAll: boolean, content: NewsContent): void {
		const next = this.#deciders.findNext(service);
		this.sendTo(isForAll ? this.#peers.listReady() : (next === undefined ? [] : [next]), service, content);
	}

	/** Sends news to nodes, this one left out. */
	sendTo(nodes: Peer[], service: ServiceName, content: NewsContent): void {
		const node = this.#self();
		for (const {name, beatAddress} of nodes) {
			if (name !== node) {
				this.#socket.tell(beatAddress, {
					service, node, notes: [], ...content,
				});
			}
		}
	}
}
