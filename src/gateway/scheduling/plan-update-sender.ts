/** Sends news of a service to other nodes, in datagrams that may be lost. */
import type {BoxId, ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {PeerSocket} from '../peers/peer-socket.js';
import type {Peers} from '../peers/peers.js';
import type {PlanUpdate} from '../peers/plan-update.js';
import type {SchedulerSelector} from './scheduler-selector.js';

/** What news holds besides its service and its sender. */
export type PlanUpdateContent = Partial<Omit<PlanUpdate, 'service' | 'node'>>;

/** Sends news of one node. */
export class PlanUpdateSender {
	readonly #socket: PeerSocket;
	readonly #peers: Peers;
	readonly #schedulers: SchedulerSelector;
	readonly #self: () => BoxId;

	constructor(socket: PeerSocket, peers: Peers, schedulers: SchedulerSelector, self: () => BoxId) {
		this.#socket = socket;
		this.#peers = peers;
		this.#schedulers = schedulers;
		this.#self = self;
	}

	/** Live nodes whose process was discovered within the last `age` milliseconds. */
	listDiscoveredWithin(age: number): Peer[] {
		return this.#peers.listDiscoveredWithin(age);
	}

	/** Sends news to a node by its name, if it lives. */
	sendToNode(name: BoxId | undefined, service: ServiceName, content: PlanUpdateContent): void {
		const peer = name === undefined ? undefined : this.#peers.findLive(name);
		this.sendTo(peer === undefined ? [] : [peer], service, content);
	}

	/** Sends news to the next deciding node, or to all ready nodes. */
	sendToSuccessors(service: ServiceName, isBroadcast: boolean, content: PlanUpdateContent): void {
		const next = this.#schedulers.selectNext(service);
		this.sendTo(isBroadcast ? this.#peers.listReady() : (next === undefined ? [] : [next]), service, content);
	}

	/** Sends news to nodes, this one left out. */
	sendTo(nodes: Peer[], service: ServiceName, content: PlanUpdateContent): void {
		const node = this.#self();
		for (const {name, beatAddress} of nodes) {
			if (name !== node) {
				this.#socket.sendPlanUpdate(beatAddress, {
					service, node, notes: [], ...content,
				});
			}
		}
	}
}
