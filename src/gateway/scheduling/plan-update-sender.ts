/** Sends plan updates of a service to other nodes, in datagrams that may be lost. */
import type {BoxId, ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {PeerSocket} from '../peers/peer-socket.js';
import type {Peers} from '../peers/peers.js';
import type {PlanUpdate} from '../peers/plan-update.js';
import type {SchedulerSelector} from './scheduler-selector.js';

/** Content of an update besides its service and sender. */
export type PlanUpdateContent = Partial<Omit<PlanUpdate, 'service' | 'node'>>;

/** Sends the plan updates of this node. */
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

	/** Lists live nodes whose current process was discovered within the last `age` milliseconds. */
	listDiscoveredWithin(age: number): Peer[] {
		return this.#peers.listDiscoveredWithin(age);
	}

	/** Sends an update to a node by name, if it is live. */
	sendToNode(name: BoxId | undefined, service: ServiceName, content: PlanUpdateContent): void {
		const peer = name === undefined ? undefined : this.#peers.findLive(name);
		this.sendTo(peer === undefined ? [] : [peer], service, content);
	}

	/** Sends an update to the node that would take over scheduling, or to all ready nodes. */
	sendToSuccessors(service: ServiceName, isBroadcast: boolean, content: PlanUpdateContent): void {
		const next = this.#schedulers.selectNext(service);
		this.sendTo(isBroadcast ? this.#peers.listReady() : (next === undefined ? [] : [next]), service, content);
	}

	/** Sends an update to nodes, skipping this one. */
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
