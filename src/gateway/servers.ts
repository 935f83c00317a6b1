/** The listeners of a gateway node, on Fastify. */
import {METHODS, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import fastify, {
	type FastifyInstance, type FastifyReply, type FastifyRequest, type FastifyServerOptions,
} from 'fastify';
import {
	createFailure, readErrorMessage, type AvailabilityZone, type Clock, type OpenRequests,
} from '../common/index.js';
import {CallerConnections} from './caller-connections.js';
import {HttpSink, sendFailure} from './calls/index.js';
import {relayPath} from './links/index.js';
import {addPeerRoutes, maxPeerMessageBytes, type PeerService} from './peers/index.js';
import {listenOnEarly, takeEarlyListener} from './early-listener.js';
import {statusPath} from './node-status.js';
import {
	BodyTooLargeError, hasBody, readBody, statesLargeBody,
} from './request-body.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {GatewayWire} from './wire.js';

/** Maximum size of a request head, in bytes: above any configurable limit, which is checked separately. */
const maxHeadBytes = 65_536;

/** Timeout for a request head until a configuration sets one, in milliseconds. */
const defaultHeadTimeout = 5000;

/** Interval between checks for callers' heads that are not complete in time, in milliseconds. */
const headCheckInterval = 1000;

/** Maximum number of header fields of a request; Node.js drops further ones without notice. */
const maxHeaderFields = 1000;

/** Time for which an idle connection is kept until a configuration sets one, in milliseconds. */
export const defaultIdleTimeout = 15_000;

/** Time for which an idle connection between nodes is kept, in milliseconds. */
const peerIdleTimeout = 60_000;

/** Option of a method whose body Fastify does not read. */
const withoutBody = {hasBody: false, overrideExisting: true};

/** A Fastify instance that listens; the gateway closes it. */
export type OpenServer = FastifyInstance;

function createServer(bodyLimit: number, idleTime = defaultIdleTimeout, clientErrorHandler?: FastifyServerOptions['clientErrorHandler']): OpenServer {
	return fastify({
		bodyLimit,
		keepAliveTimeout: idleTime,
		forceCloseConnections: 'idle',
		exposeHeadRoutes: false,
		http: {
			maxHeaderSize: maxHeadBytes, headersTimeout: defaultHeadTimeout, ...(clientErrorHandler && {connectionsCheckingInterval: headCheckInterval}),
		},
		clientErrorHandler,
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

/** Dependencies of the callers' listener. */
export type CallersContext = {
	clock: Clock;
	openRequests: OpenRequests;
	wire: GatewayWire;
	isStopping: () => boolean;
	findBodyLimit: () => number;
	/** Longest time for which a caller may send nothing within a body, in milliseconds. */
	findIdleTime: () => number;
	serve: (request: IncomingMessage, body: Uint8Array | undefined, sink: HttpSink, response: ServerResponse) => Promise<void>;
};

/** Maximum size of a body until a configuration sets one, in bytes. */
export const defaultBodyLimit = 4 * 1024 * 1024;

/** Opens the callers' listener. */
export async function openCallersServer(address: string, context: CallersContext): Promise<OpenServer> {
	const connections = new CallerConnections(context.clock);
	const server = createServer(maxHeadBytes, defaultIdleTimeout, (error, socket) => {
		rejectHead(error, socket, connections);
	});
	connections.observe(server.server);
	context.openRequests.observe(server.server);
	server.server.maxHeadersCount = maxHeaderFields;
	for (const method of METHODS.filter(each => server.supportedMethods.includes(each))) {
		// Bodies are read by this node, of all methods and content types.
		server.addHttpMethod(method, withoutBody);
	}

	server.server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
		if (!statesLargeBody(request, context.findBodyLimit())) {
			response.writeContinue();
		}

		server.server.emit('request', request, response);
	});
	server.all('*', async (request: FastifyRequest, reply: FastifyReply) => {
		void reply.hijack();
		await serveCaller(request.raw, reply.raw, connections, context);
	});
	return listen(server, address);
}

/** Statuses for heads that are not read, by the error code of Node.js; 400 for all others. */
const headStatuses: Record<string, string> = {
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
};

/** Answers a head that is invalid or late, and closes the connection. */
function rejectHead(error: Error & {code?: string}, socket: Socket, connections: CallerConnections): void {
	const isLate = error.code === 'ERR_HTTP_REQUEST_TIMEOUT';
	if (!connections.owesAnswer(socket)) {
		if (socket.writable) {
			socket.write(`HTTP/1.1 ${headStatuses[error.code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
		}

		socket.destroy(error);
	} else if (!isLate) {
		// What is written now would be a part of the answer that is due, and a body that ends with a clean close looks complete.
		socket.resetAndDestroy();
	}
}

async function serveCaller(request: IncomingMessage, response: ServerResponse, connections: CallerConnections, context: CallersContext): Promise<void> {
	const sink = new HttpSink(response, context.isStopping);
	const refuse = (kind: 'invalid_request' | 'headers_too_large' | 'body_too_large', message: string) => {
		// The rest of the request is not read.
		response.shouldKeepAlive = false;
		sendFailure(sink, context.wire, createFailure(kind, message), undefined);
	};

	if (request.rawHeaders.length >= maxHeaderFields * 2) {
		refuse('headers_too_large', `send less than ${maxHeaderFields} header fields`);
		return;
	}

	let body: Uint8Array | undefined;
	try {
		body = await readCallerBody(request, connections, context);
	} catch (error) {
		refuse(error instanceof BodyTooLargeError ? 'body_too_large' : 'invalid_request', readErrorMessage(error));
		return;
	}

	await context.serve(request, body, sink, response);
}

/** Reads the body of a request. The connection of a caller that stops sending within it is closed; a slow caller is not affected. */
async function readCallerBody(request: IncomingMessage, connections: CallerConnections, context: CallersContext): Promise<Uint8Array | undefined> {
	if (!hasBody(request)) {
		return undefined;
	}

	const {socket} = request;
	socket.setTimeout(context.findIdleTime());
	try {
		return await readBody(request, context.findBodyLimit(), () => {
			connections.recordChunk(socket);
		});
	} finally {
		socket.setTimeout(0);
	}
}

/** Opens the listener of the readiness check. */
export async function openReadyServer(address: string, wire: GatewayWire, isReady: () => boolean): Promise<OpenServer> {
	const server = createServer(maxHeadBytes);
	server.get(wire.readyPath, async (_request, reply) => reply.code(isReady() ? 200 : 503).send());
	return listen(server, address);
}

/** Addresses for callers, and the time in seconds for which they may be cached. */
export type AddressList = {addresses: string[]; lifetime: number};

/** Opens the listener that resolves the addresses of gateway nodes. */
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

/** Serves one request that another node passes on. */
export type ServeRelayed = (request: IncomingMessage, body: Uint8Array | undefined, response: ServerResponse) => void;

/** Opens the listener for other nodes. Without `serveRelayed` it forwards no requests. */
export async function openPeersServer(address: string, service: PeerService, serveRelayed?: ServeRelayed): Promise<OpenServer> {
	const server = createServer(maxPeerMessageBytes, peerIdleTimeout);
	addPeerRoutes(server, service);
	if (serveRelayed !== undefined) {
		addRelayRoute(server, serveRelayed);
	}

	return listen(server, address);
}

/** Bodies are forwarded as they are, whatever their content type. */
function addRelayRoute(server: OpenServer, serveRelayed: ServeRelayed): void {
	for (const method of ['GET', 'HEAD']) {
		server.addHttpMethod(method, {hasBody: true, overrideExisting: true});
	}

	void server.register(async scope => {
		scope.removeAllContentTypeParsers();
		scope.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
			done(null, body);
		});
		scope.all(relayPath, (request, reply) => {
			void reply.hijack();
			serveRelayed(request.raw, request.body as Uint8Array | undefined, reply.raw);
		});
	});
}

/** Opens the listener for metrics and the status. */
export async function openMetricsServer(address: string, metrics: GatewayMetrics, formatStatus: () => string): Promise<OpenServer> {
	const server = createServer(maxHeadBytes);
	server.get('/metrics', async (_request, reply) => reply.type(metrics.contentType).send(await metrics.formatText()));
	server.get(statusPath, async (_request, reply) => reply.type('application/json').send(formatStatus()));
	return listen(server, address);
}
