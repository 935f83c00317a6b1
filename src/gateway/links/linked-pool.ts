/**
 * Connections to backend servers that survive a cut link: a request that its server has not received is forwarded by another node.
 *
 * Nothing is sent twice: a request takes another way only if no byte of it can have reached the server. Forwarded requests are not forwarded again.
 */
import {
	createTimeout, type BackendServerId, type Clock, type Logger,
} from '../../common/index.js';
import type {BackendServer, LinkFailure} from '../../routing/index.js';
import {
	BackendExchange, BackendPool, type BackendRequest, type ConnectionUse, type PooledHandler, type ServerDialer, type SilentRequest,
} from '../calls/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {Peer} from '../peers/heartbeat.js';
import {DirectExchange} from './direct-exchange.js';
import {LinkMonitor, type LinkMonitorParts} from './link-monitor.js';
import {RelayExchange} from './relay-exchange.js';
import type {RelayPeers} from './relay-peers.js';
import {
	formatRelayRequest, type RelayOutcome, type RelayPurpose, type UnsentOutcome,
} from './relay-wire.js';

/** Connect timeout where another node may forward the request, in milliseconds: well over a round trip, and under the retransmission of a lost packet. */
const shortConnectTimeout = 200;

/** Timeout of a probe, in milliseconds. */
const probeTimeout = 300;

/** Number of other nodes that must fail to reach a server before a request to it is given up. */
const maxUnreachable = 2;

/** Time for which it is known whether a server or its link failed, in milliseconds. */
const verdictLifetime = 500;

/** Dependencies of the pool. */
export type LinkedPoolParts = Omit<LinkMonitorParts, 'probe' | 'hasOtherWay'> & {
	clock: Clock;
	logger: Logger;
	metrics: GatewayMetrics;
	dialer: ServerDialer;
	relays: RelayPeers;
	/** Path at which a server answers without starting work. */
	reportPath: string;
};

/** A request to a server, by whichever way. */
type RoutedRequest = {server: BackendServer; request: BackendRequest & {server: BackendServerId}; exchange: BackendExchange; use: ConnectionUse; purpose: RelayPurpose};

/** What a request has met so far. */
type Progress = {
	remaining: Peer[];
	/** Whether the own link was tried. */
	hasDialled: boolean;
	/** Number of other nodes that have not reached the server. */
	unreachable: number;
	lastError: Error;
};

/** Connections to other nodes that forward requests. */
class PeerPool extends BackendPool {
	sendTo(address: string, request: BackendRequest, handler: PooledHandler, use: ConnectionUse): void {
		this.send(address, request, handler, use, shortConnectTimeout);
	}
}

/** Connections to all servers, and ways through other nodes. */
export class LinkedPool extends BackendPool {
	readonly monitor: LinkMonitor;
	readonly #parts: LinkedPoolParts;
	readonly #peers: PeerPool;
	readonly #verdicts = new Map<BackendServerId, {at: number; isServerAtFault: Promise<boolean>}>();

	constructor(parts: LinkedPoolParts) {
		super(parts.clock, parts.dialer);
		this.#parts = parts;
		this.#peers = new PeerPool(parts.clock, undefined, this.turns);
		this.monitor = new LinkMonitor({...parts, probe: async server => this.probe(server), hasOtherWay: () => parts.relays.isAvailable});
	}

	override dispatch(address: string, request: BackendRequest, exchange: BackendExchange, use: ConnectionUse = 'kept'): void {
		const server = request.server === undefined ? undefined : this.#parts.findServer(request.server);
		if (server === undefined) {
			super.dispatch(address, request, exchange, use);
			return;
		}

		this.#start({
			server, request: {...request, server: server.id}, exchange, use, purpose: 'request',
		});
	}

	/** Sends a request of another node over this node's own link only. */
	forward(server: BackendServer, request: BackendRequest, exchange: BackendExchange, use: ConnectionUse): void {
		this.#sendDirectly({
			server, request: {...request, server: server.id}, exchange, use, purpose: 'request',
		});
	}

	override async ask(address: string, request: BackendRequest, timeout: number, use: ConnectionUse = 'kept'): Promise<{status: number; text: string}> {
		const server = request.server === undefined ? undefined : this.#parts.findServer(request.server);
		if (server === undefined || !this.#parts.relays.isAvailable) {
			return super.ask(address, request, timeout, use);
		}

		return this.#askFor(exchange => {
			this.#start({
				server, request: {...request, server: server.id}, exchange, use, purpose: 'control',
			});
		}, timeout);
	}

	override prune(): void {
		super.prune();
		this.monitor.prune();
		this.#peers.prune();
	}

	override isCut(server: BackendServerId): boolean {
		return this.#parts.relays.isAvailable && this.monitor.links.isCut(server);
	}

	override recordSilence(silent: SilentRequest): void {
		super.recordSilence(silent);
		this.#peers.closeIdleBefore(silent.sentAt);
		if (silent.exchange.relay === undefined) {
			this.monitor.recordFailure(silent.server, 'silent');
		}
	}

	override checkLink({server, exchange, sentAt}: SilentRequest): void {
		// A server that has answered another request meanwhile is slow, and its link is sound.
		if (exchange.relay === undefined && sentAt > this.monitor.links.findAnswerTime(server)) {
			void this.verifyFault(server);
		}
	}

	/** Asks the server directly and through another node at the same time: an answer that arrives only through the other node shows that the link is cut. */
	override verifyFault(id: BackendServerId): boolean | Promise<boolean> {
		const server = this.#parts.findServer(id);
		if (server === undefined || !this.#parts.relays.isAvailable) {
			return true;
		}

		const now = this.#parts.clock.readMonotonic();
		for (const [known, {at}] of this.#verdicts) {
			if (now - at > verdictLifetime) {
				this.#verdicts.delete(known);
			}
		}

		const verdict = this.#verdicts.get(id) ?? {at: now, isServerAtFault: this.#evaluateFault(server)};
		this.#verdicts.set(id, verdict);
		return verdict.isServerAtFault;
	}

	/** Whether a server answers over this node's own link. */
	async probe(server: BackendServer): Promise<boolean> {
		const isReached = await this.#waitForHead(exchange => {
			this.#sendDirectly({
				server, request: this.#createProbe(server), exchange, use: 'fresh', purpose: 'control',
			});
		});
		if (!isReached) {
			this.monitor.recordFailure(server.id, 'connect');
		}

		return isReached;
	}

	override async close(): Promise<void> {
		this.monitor.stop();
		await Promise.all([super.close(), this.#peers.close()]);
	}

	async #evaluateFault(server: BackendServer): Promise<boolean> {
		const isReached = this.probe(server);
		const outcome = await this.#probeThroughPeers(server);
		if (outcome === 'answered') {
			const isServerAtFault = await isReached;
			if (!isServerAtFault) {
				this.monitor.recordCut(server.id);
			}

			return isServerAtFault;
		}

		// Without another node that has tried, the failures of an isolated node say nothing about the server.
		return outcome === 'unreachable' || await isReached || this.monitor.links.isolatedSince === undefined;
	}

	/** Asks a server through other nodes, two at a time, until one of them has tried; undefined when none has, or there is no answer in time. */
	async #probeThroughPeers(server: BackendServer): Promise<'answered' | 'unreachable' | undefined> {
		const peers = this.#parts.relays.list(server.availabilityZone);
		while (peers.length > 0) {
			const outcomes = await Promise.all(peers.splice(0, 2).map(async peer => this.#probeThrough(peer, server)));
			if (outcomes.includes('answered')) {
				return 'answered';
			}

			if (outcomes.includes('unreachable')) {
				return 'unreachable';
			}
		}

		return undefined;
	}

	async #probeThrough(peer: Peer, server: BackendServer): Promise<'answered' | UnsentOutcome | undefined> {
		let unsent: UnsentOutcome | undefined;
		const isReached = await this.#waitForHead(exchange => {
			this.#sendTo(peer, {
				server, request: this.#createProbe(server), exchange, use: 'fresh', purpose: 'control',
			}, (outcome, reason) => {
				unsent = outcome;
				exchange.onResponseError(undefined, new Error(reason));
			});
		});
		return isReached ? 'answered' : unsent;
	}

	#createProbe(server: BackendServer): BackendRequest & {server: BackendServerId} {
		return {
			server: server.id, method: 'GET', path: this.#parts.reportPath, headers: {}, body: undefined,
		};
	}

	/** Sends over the own link unless it is cut, and through other nodes otherwise. */
	#start(routed: RoutedRequest): void {
		const {relays} = this.#parts;
		const {server} = routed;
		const progress = {
			remaining: relays.list(server.availabilityZone), hasDialled: false, unreachable: 0, lastError: new Error('no node reaches the backend server'),
		};
		if (progress.remaining.length > 0 && this.monitor.links.isCut(server.id)) {
			this.#sendThroughNext(routed, progress);
			return;
		}

		if (progress.remaining.length === 0) {
			this.#sendDirectly(routed);
			return;
		}

		this.#sendDirectly(routed, () => {
			this.#sendThroughNext(routed, {...progress, hasDialled: true});
		}, shortConnectTimeout);
	}

	#sendDirectly(routed: RoutedRequest, takeOtherWay?: () => void, timeout?: number): void {
		const {server, request, exchange, use} = routed;
		this.send(server.address, request, new DirectExchange(exchange, {
			onAnswer: isNew => {
				this.monitor.recordAnswer(server.id, isNew);
			},
			onFailure: (failure: LinkFailure) => {
				this.monitor.recordFailure(server.id, failure);
			},
			takeOtherWay,
		}), use, timeout);
	}

	#sendThroughNext(routed: RoutedRequest, progress: Progress): void {
		if (routed.exchange.isAborted) {
			routed.exchange.onResponseError(undefined, progress.lastError);
			return;
		}

		const peer = progress.remaining.shift();
		if (peer === undefined) {
			this.#finishUnforwarded(routed, progress);
			return;
		}

		this.#sendTo(peer, routed, (outcome, reason) => {
			progress.lastError = new Error(`not forwarded by ${peer.name}: ${reason}`);
			progress.unreachable += outcome === 'unreachable' ? 1 : 0;
			if (progress.unreachable >= maxUnreachable) {
				progress.remaining = [];
			}

			this.#sendThroughNext(routed, progress);
		});
	}

	/** No node has forwarded the request: the own link is tried unless this node or another one has just found the server unreachable. */
	#finishUnforwarded(routed: RoutedRequest, {hasDialled, unreachable, lastError}: Progress): void {
		if (hasDialled || unreachable > 0) {
			routed.exchange.onResponseError(undefined, lastError);
		} else {
			this.#sendDirectly(routed);
		}
	}

	#sendTo(peer: Peer, routed: RoutedRequest, onUnsent: (outcome: UnsentOutcome, reason: string) => void): void {
		const {logger, metrics, relays} = this.#parts;
		const {server, request, exchange, use, purpose} = routed;
		const record = (outcome: UnsentOutcome | RelayOutcome, reason?: string) => {
			relays.record(peer.name, outcome);
			metrics.countRelayed(server.service, purpose, outcome);
			if (purpose === 'request') {
				logger.info({
					event: 'request_relayed',
					request: request.requestId,
					server: server.id,
					relay: peer.name,
					outcome,
					reason,
					isolatedFor: this.monitor.measureIsolation(),
				}, 'another node forwarded a request to a backend server, or did not');
			}
		};

		this.#peers.sendTo(peer.peerAddress, formatRelayRequest(request, purpose, use), new RelayExchange(exchange, peer.name, {
			onAnswer() {
				record('answered');
			},
			onUnsent(outcome, reason) {
				record(outcome, reason);
				onUnsent(outcome, reason);
			},
			onLost(reason) {
				record('lost', reason);
			},
		}), use);
	}

	/** Waits for the head of the answer to a probe that `send` starts; the body, however long, is not awaited. */
	async #waitForHead(send: (exchange: BackendExchange) => void): Promise<boolean> {
		return new Promise<boolean>(resolve => {
			const finish = (isReached: boolean) => {
				timer.cancel();
				exchange.abort();
				resolve(isReached);
			};

			const exchange: BackendExchange = new BackendExchange({
				onHead() {
					finish(true);
				},
				onData() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- the exchange is aborted
				onEnd() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- the exchange is aborted
				onError() {
					finish(false);
				},
			});
			const timer = this.#parts.clock.setTimer(probeTimeout, () => {
				finish(false);
			});
			send(exchange);
		});
	}

	/** Collects the whole answer to a request that `send` starts; rejects when there is none in time. */
	async #askFor(send: (exchange: BackendExchange) => void, timeout: number): Promise<{status: number; text: string}> {
		const deadline = createTimeout(this.#parts.clock, timeout);
		const answer = new Promise<{status: number; text: string}>((resolve, reject) => {
			let status = 0;
			let text = '';
			const decoder = new TextDecoder();
			const exchange = new BackendExchange({
				onHead(head) {
					status = head;
				},
				onData(chunk) {
					text += decoder.decode(chunk, {stream: true});
				},
				onEnd() {
					resolve({status, text});
				},
				onError: reject,
			});
			deadline.signal.addEventListener('abort', () => {
				exchange.abort();
				reject(new Error(`no answer within ${timeout} ms`));
			});
			send(exchange);
		});
		try {
			return await answer;
		} finally {
			deadline.cancel();
		}
	}
}
