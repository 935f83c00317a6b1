/** HTTP listeners of a node for callers, operators and other nodes, each on its own port. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import 'reflect-metadata'; // eslint-disable-line import-x/no-unassigned-import
import {Module, type DynamicModule, type Type} from '@nestjs/common';
import {NestFactory} from '@nestjs/core';
import {FastifyAdapter, type NestFastifyApplication} from '@nestjs/platform-fastify';
import {fastifyTRPCPlugin} from '@trpc/server/adapters/fastify';
import type {FastifyError, FastifyReply, FastifyRequest} from 'fastify';
import {
	createFailure, formatErrorBody, hashSecret, matchesHash, OpenRequests, readBearerToken,
} from '../common/index.js';
import {nodeRouter, rpcPath, type NodeService} from '../rpc/index.js';
import type {ListenerSettings} from '../settings/index.js';
import {CallersController, callersToken, type CallersContext} from './callers-controller.js';
import {formatErrorHead} from './entry/index.js';
import {OperatorsController, operatorsToken, type OperatorsContext} from './operators-controller.js';

/** Open HTTP listener. */
export type Listener = {
	/** Base URL. */
	url: string;
	/** Requests that are owed an answer, those whose body still arrives included. */
	openRequests: OpenRequests;
	/** Closes the listener and all connections; call it when no response is in progress. */
	close(): Promise<void>;
};

const bytesPerMebibyte = 1_048_576;

/** Maximum size of a message between nodes in bytes: a forwarded body in base64, or transferred outcomes. */
const rpcBodyLimit = 160 * bytesPerMebibyte;

/** Milliseconds for which an idle connection is kept open. */
const idleConnectionTimeout = 75_000;

@Module({})
class ListenerModule {}

/** Opens the listener for callers. */
export async function openCallersListener(settings: ListenerSettings, bodyLimit: number, context: CallersContext): Promise<Listener> {
	const app = await createApp(CallersController, {provide: callersToken, useValue: context}, bodyLimit);
	return listen(app, settings);
}

/** Opens the listener for operators. */
export async function openOperatorsListener(settings: ListenerSettings, context: OperatorsContext): Promise<Listener> {
	const app = await createApp(OperatorsController, {provide: operatorsToken, useValue: context}, bytesPerMebibyte);
	return listen(app, settings);
}

/** Opens the listener for other nodes. Rejects and counts messages without the shared secret. */
export async function openNodesListener(settings: ListenerSettings, secret: string, parts: {service: NodeService; onRefused: () => void}): Promise<Listener> {
	const adapter = createAdapter(rpcBodyLimit);
	const secretHash = hashSecret(secret);
	const instance = adapter.getInstance();
	instance.addHook('onRequest', async (request: FastifyRequest, reply: FastifyReply) => {
		// Messages between nodes are frequent and small, so the redundant Date header is omitted.
		reply.raw.sendDate = false;
		if (!matchesHash(readBearerToken(request.headers.authorization), secretHash)) {
			parts.onRefused();
			await reply.code(401).send({error: 'the node secret is missing or invalid'});
		}
	});
	await instance.register(fastifyTRPCPlugin, {
		prefix: rpcPath,
		trpcOptions: {router: nodeRouter, createContext: () => ({service: parts.service})},
	});
	const app = await NestFactory.create<NestFastifyApplication>(ListenerModule, adapter, {logger: false, bodyParser: false, abortOnError: false});
	return listen(app, settings);
}

function createAdapter(bodyLimit: number): FastifyAdapter {
	return new ListenerAdapter(bodyLimit);
}

/** Fastify adapter that formats errors raised before a handler runs like all other errors. */
class ListenerAdapter extends FastifyAdapter {
	readonly #bodyLimit: number;

	constructor(bodyLimit: number) {
		super({
			bodyLimit, keepAliveTimeout: idleConnectionTimeout, forceCloseConnections: true, clientErrorHandler: rejectMalformedRequest,
		});
		this.#bodyLimit = bodyLimit;
		this.getInstance().server.on('request', ({socket}: IncomingMessage, response: ServerResponse) => {
			openAnswers.set(socket, (openAnswers.get(socket) ?? 0) + 1);
			response.once('close', () => {
				openAnswers.set(socket, openAnswers.get(socket)! - 1);
			});
		});
	}

	override setErrorHandler(): ReturnType<FastifyAdapter['setErrorHandler']> {
		return this.getInstance().setErrorHandler(async (error: FastifyError, _request, reply) => sendHttpError(error, reply, this.#bodyLimit));
	}
}

async function createApp(controller: Type, provider: {provide: symbol; useValue: unknown}, bodyLimit: number): Promise<NestFastifyApplication> {
	const adapter = createAdapter(bodyLimit);
	const root: DynamicModule = {module: ListenerModule, controllers: [controller], providers: [provider]};
	const app = await NestFactory.create<NestFastifyApplication>(root, adapter, {logger: false, bodyParser: false, abortOnError: false});
	const instance = adapter.getInstance();
	instance.removeAllContentTypeParsers();
	instance.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
		done(null, body);
	});
	return app;
}

async function sendHttpError(error: FastifyError, reply: FastifyReply, bodyLimit: number): Promise<void> {
	const failure = error.code === 'FST_ERR_CTP_BODY_TOO_LARGE'
		? createFailure('body_too_large', `the body is larger than ${bodyLimit / bytesPerMebibyte} MiB, the limit of this node`)
		: createFailure('invalid_request', `the request could not be read: ${error.message}`);
	const head = formatErrorHead(failure);
	await reply.code(head.status).headers(head.headers).send(JSON.stringify(formatErrorBody(failure)));
}

/** Number of requests on a connection whose answers have not been sent. */
const openAnswers = new WeakMap<Socket, number>();

/** Responds to a request head that the HTTP parser rejects, with the error format of all other responses. */
function rejectMalformedRequest(error: Error & {code?: string}, socket: Socket): void {
	// A response that is written now would be a part of the answer under way.
	if (!socket.writable || (openAnswers.get(socket) ?? 0) > 0) {
		// A body that ends with a clean close looks complete.
		socket.resetAndDestroy();
		return;
	}

	const isTooLarge = error.code === 'HPE_HEADER_OVERFLOW';
	const failure = createFailure('invalid_request', isTooLarge ? 'the head of the request is too large' : `the request could not be read: ${error.message}`);
	const body = JSON.stringify(formatErrorBody(failure));
	const status = isTooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
	socket.end(`HTTP/1.1 ${status}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`);
}

async function listen(app: NestFastifyApplication, settings: ListenerSettings): Promise<Listener> {
	await app.listen(settings.port, settings.host);
	const server = app.getHttpServer();
	const openRequests = new OpenRequests();
	openRequests.observe(server);
	const address = server.address() as AddressInfo;
	const host = settings.host.includes(':') ? `[${settings.host}]` : settings.host;
	return {
		url: `http://${host}:${address.port}`,
		openRequests,
		close: async () => app.close(),
	};
}
