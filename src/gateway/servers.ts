/** The listeners of a gateway node, on Fastify. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {fastifyTRPCPlugin} from '@trpc/server/adapters/fastify';
import fastify, {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {createFailure, type AvailabilityZone} from '../common/index.js';
import {rpcPath} from '../rpc/node-fetch.js';
import {HttpSink, sendFailure} from './calls/index.js';
import {peerRouter, type PeerService} from './peers/index.js';
import {listenOnEarly, takeEarlyListener} from './early-listener.js';
import {statusPath} from './node-status.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {GatewayWire} from './wire.js';

/** Largest request head, in bytes: above what any configuration allows, which is checked apart. */
const maxHeadBytes = 65_536;

/** Largest message between nodes, in bytes: a view of the fleet. */
const maxPeerMessageBytes = 16 * 1024 * 1024;

/** Time for a request head before a configuration states one, in milliseconds. */
const defaultHeadTimeout = 5000;

/** How long an idle connection is kept before a configuration states it, in milliseconds. */
const defaultIdleTimeout = 15_000;

/** How long an idle connection between nodes is kept, in milliseconds. */
const peerIdleTimeout = 60_000;

/** A listener: its framework instance is closed by the gateway. */
export type OpenServer = FastifyInstance;

function createServer(bodyLimit: number, idleTime = defaultIdleTimeout): OpenServer {
	return fastify({
		bodyLimit,
		keepAliveTimeout: idleTime,
		forceCloseConnections: 'idle',
		exposeHeadRoutes: false,
		http: {maxHeaderSize: maxHeadBytes, headersTimeout: defaultHeadTimeout},
	});
}

async function listen(server: OpenServer, address: string): Promise<OpenServer> {
	const early = takeEarlyListener(address);
	if (early !== undefined) {
		await server.ready();
		await listenOnEarly(server.server, early);
		return server;
	}

	const [host, port] = address.split(':');
	await server.listen({host, port: Number(port)});
	return server;
}

/** What the callers' listener calls. */
export type CallersContext = {
	wire: GatewayWire;
	isStopping: () => boolean;
	findBodyLimit: () => number;
	serve: (request: IncomingMessage, body: Uint8Array | undefined, sink: HttpSink, response: ServerResponse) => Promise<void>;
};

/** Largest body while no configuration states a limit, in bytes. */
export const defaultBodyLimit = 4 * 1024 * 1024;

/** Lets a caller go that falls silent within its body: its connection and what has come of the body would be kept for good. A slow caller is not silent. */
function limitBodyIdleTime(server: OpenServer): void {
	server.addHook('onRequest', (request, _reply, done) => {
		request.raw.setTimeout(server.server.keepAliveTimeout);
		done();
	});
	server.addHook('preValidation', (request, _reply, done) => {
		request.raw.setTimeout(0);
		done();
	});
}

/** Opens the callers' listener. Bodies are taken whole, whatever their type. */
export async function openCallersServer(address: string, context: CallersContext): Promise<OpenServer> {
	const server = createServer(defaultBodyLimit * 4);
	server.removeAllContentTypeParsers();
	server.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
		done(null, body);
	});
	server.setErrorHandler(async (error: {statusCode?: number; message: string}, _request, reply: FastifyReply) => {
		void reply.hijack();
		const kind = error.statusCode === 413 ? 'body_too_large' : 'invalid_request';
		sendFailure(new HttpSink(reply.raw, () => true), context.wire, createFailure(kind, error.message), undefined);
	});
	limitBodyIdleTime(server);
	const serve = async (request: FastifyRequest, reply: FastifyReply) => {
		void reply.hijack();
		const sink = new HttpSink(reply.raw, context.isStopping);
		const body = request.body as Uint8Array | undefined;
		if (body !== undefined && body.length > context.findBodyLimit()) {
			sendFailure(sink, context.wire, createFailure('body_too_large', `the body is longer than ${context.findBodyLimit()} bytes`), undefined);
			return;
		}

		await context.serve(request.raw, body, sink, reply.raw);
	};

	server.all('*', serve);
	return listen(server, address);
}

/** Opens the listener that says whether the node is ready. */
export async function openReadyServer(address: string, wire: GatewayWire, isReady: () => boolean): Promise<OpenServer> {
	const server = createServer(maxHeadBytes);
	server.get(wire.readyPath, async (_request, reply) => reply.code(isReady() ? 200 : 503).send());
	return listen(server, address);
}

/** Addresses for callers and how long they may be kept, in seconds. */
export type AddressList = {addresses: string[]; lifetime: number};

/** Opens the listener that says which addresses to use. */
export async function openAddressServer(address: string, wire: GatewayWire, listAddresses: (zone: AvailabilityZone) => AddressList): Promise<OpenServer> {
	const server = createServer(maxHeadBytes);
	server.get(wire.addressPath, async (request, reply) => {
		const {addresses, lifetime} = listAddresses(wire.readCallerZone(request.query as Record<string, string | undefined>));
		if (addresses.length === 0) {
			return reply.code(503).send();
		}

		return reply.type('application/json').send(wire.formatAddresses(addresses, lifetime));
	});
	return listen(server, address);
}

/** Opens the listener for other nodes. */
export async function openPeersServer(address: string, service: PeerService): Promise<OpenServer> {
	const server = createServer(maxPeerMessageBytes, peerIdleTimeout);
	await server.register(fastifyTRPCPlugin, {
		prefix: rpcPath,
		trpcOptions: {router: peerRouter, createContext: () => ({service})},
	});
	return listen(server, address);
}

/** Opens the listener for metrics, and beside them how the node stands. */
export async function openMetricsServer(address: string, metrics: GatewayMetrics, formatStatus: () => string): Promise<OpenServer> {
	const server = createServer(maxHeadBytes);
	server.get('/metrics', async (_request, reply) => reply.type(metrics.contentType).send(await metrics.formatText()));
	server.get(statusPath, async (_request, reply) => reply.type('application/json').send(formatStatus()));
	return listen(server, address);
}
