/** Forwards requests of other nodes to backend servers that they do not reach. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {BackendServerId, Logger} from '../../common/index.js';
import type {BackendServer} from '../../routing/index.js';
import {BackendExchange, listNotices, type Placer} from '../calls/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';
import type {GatewayWire, HeaderFields} from '../wire.js';
import type {LinkedPool} from './linked-pool.js';
import {
	formatRelayAnswer, formatRelayFailure, readRelayRequest, type RelayedRequest, type RelayOutcome,
} from './relay-wire.js';

const serviceUnavailable = 503;

/** Dependencies of the service. */
export type RelayServiceParts = {
	logger: Logger;
	metrics: GatewayMetrics;
	wire: GatewayWire;
	pool: LinkedPool;
	placer: Placer;
	/** Finds a server that accepts new requests by this node's own view. */
	findUsableServer: (id: BackendServerId) => BackendServer | undefined;
	/** Finds a server that may be leaving. */
	findServer: (id: BackendServerId) => BackendServer | undefined;
	isStopping: () => boolean;
};

/** A request that is being forwarded. */
type Forward = {exchange: BackendExchange; response: ServerResponse};

/** Serves the requests that other nodes pass on. */
export class RelayService {
	readonly #parts: RelayServiceParts;
	readonly #forwards = new Set<Forward>();

	constructor(parts: RelayServiceParts) {
		this.#parts = parts;
	}

	/** Number of requests that are being forwarded. */
	get inProgress(): number {
		return this.#forwards.size;
	}

	/** Ends all requests in progress: the nodes that passed them on learn which of them may have run. */
	stopNow(): void {
		for (const {exchange, response} of this.#forwards) {
			// The server has ended its answer, and a part of it is still to be sent.
			if (response.writableEnded) {
				continue;
			}

			const {wasSent} = exchange;
			exchange.abort();
			this.#fail(response, wasSent ? 'lost' : 'declined', 'the node that forwards the request has stopped');
		}
	}

	/** Forwards one request; the response has the outcome in its head. */
	serve(request: IncomingMessage, body: Uint8Array | undefined, response: ServerResponse): void {
		const relayed = readRelayRequest(request.method ?? 'GET', request.headers, body);
		const server = relayed === undefined ? undefined : this.#findServer(relayed);
		if (relayed === undefined || server === undefined) {
			this.#reject(response, 'declined', 'this node does not forward to the server');
			return;
		}

		// Each node answers for its own links: a request that went on to a third node could return.
		const {links} = this.#parts.pool.monitor;
		if (links.isCut(server.id)) {
			this.#reject(response, links.isolatedSince === undefined ? 'unreachable' : 'cut', 'this node does not reach the server either');
			return;
		}

		this.#forward(relayed, server, response);
	}

	#findServer({server, purpose}: RelayedRequest): BackendServer | undefined {
		const {findServer, findUsableServer, isStopping, placer} = this.#parts;
		if (purpose === 'control') {
			return findServer(server);
		}

		const usable = isStopping() ? undefined : findUsableServer(server);
		return usable === undefined || placer.isResting(usable.service, server) ? undefined : usable;
	}

	#forward({request, use}: RelayedRequest, server: BackendServer, response: ServerResponse): void {
		const {pool, metrics, logger} = this.#parts;
		const exchange: BackendExchange = new BackendExchange({
			onHead: (status, headers) => {
				this.#recordNotices(server, status, headers);
				metrics.countForwarded('answered');
				response.writeHead(status, formatRelayAnswer(headers, exchange.isFramed));
				response.flushHeaders();
			},
			onData(chunk) {
				if (!response.write(chunk) && !exchange.isPaused) {
					exchange.pause();
					response.once('drain', () => {
						exchange.resume();
					});
				}
			},
			onEnd() {
				response.end();
			},
			onError: (error, wasSent) => {
				this.#fail(response, wasSent ? 'lost' : 'unreachable', error.message);
			},
		});
		const forward = {exchange, response};
		this.#forwards.add(forward);
		response.once('close', () => {
			this.#forwards.delete(forward);
			if (!response.writableFinished) {
				exchange.abort();
				logger.debug({event: 'relay_cancelled', server: server.id}, 'the node that passed a request on has cancelled it');
			}
		});
		pool.forward(server, request, exchange, use);
	}

	/** Servers address these statements to the node that is connected to them. */
	#recordNotices({service, id}: BackendServer, status: number, headers: HeaderFields): void {
		const {wire, placer} = this.#parts;
		for (const notice of listNotices(wire.readResponseHead(status, headers))) {
			placer.recordNotice(service, id, notice);
		}
	}

	/** Rejects a request, or breaks off its answer. */
	#fail(response: ServerResponse, outcome: RelayOutcome, reason: string): void {
		if (response.headersSent) {
			response.destroy();
		} else {
			this.#reject(response, outcome, reason);
		}
	}

	#reject(response: ServerResponse, outcome: RelayOutcome, reason: string): void {
		this.#parts.metrics.countForwarded(outcome);
		response.writeHead(serviceUnavailable, formatRelayFailure(outcome, Buffer.byteLength(reason)));
		response.end(reason);
	}
}
