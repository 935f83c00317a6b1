/**
 * Serves the calls of other nodes on Fastify, with the requests and answers of tRPC's own adapter.
 *
 * The adapter wraps each call in the requests, headers and streams of `fetch`, which took most of the time of a decision.
 */
import {
	callTRPCProcedure, getTRPCErrorFromUnknown, getTRPCErrorShape, TRPCError,
} from '@trpc/server';
import {getHTTPStatusCodeFromError} from '@trpc/server/http';
import type {FastifyInstance, FastifyReply} from 'fastify';
import {readErrorMessage} from '../../common/index.js';
import {rpcPath} from '../../rpc/node-fetch.js';
import {peerRouter, type PeerService} from './peer-rpc.js';

/** One call of another node. */
type Call = {type: 'query' | 'mutation'; path: string; readInput: () => unknown};

/** Adds the routes of all procedures. */
export function addPeerRoutes(server: FastifyInstance, service: PeerService): void {
	server.removeContentTypeParser('application/json');
	server.addContentTypeParser('application/json', {parseAs: 'string'}, (_request, body, done) => {
		done(null, body);
	});
	server.get<{Params: {path: string}; Querystring: {input?: string}}>(`${rpcPath}/:path`, async ({params, query}, reply) =>
		answerCall(service, {type: 'query', path: params.path, readInput: () => parseInput(query.input)}, reply));
	server.post<{Params: {path: string}; Body?: string}>(`${rpcPath}/:path`, async ({params, body}, reply) =>
		answerCall(service, {type: 'mutation', path: params.path, readInput: () => parseInput(body)}, reply));
}

function parseInput(text: string | undefined): unknown {
	try {
		return text === undefined ? undefined : JSON.parse(text);
	} catch (error) {
		throw new TRPCError({code: 'BAD_REQUEST', message: readErrorMessage(error), cause: error});
	}
}

async function answerCall(service: PeerService, {type, path, readInput}: Call, reply: FastifyReply): Promise<FastifyReply> {
	const ctx = {service};
	void reply.type('application/json');
	try {
		const data: unknown = await callTRPCProcedure({
			router: peerRouter, path, type, ctx, getRawInput: async () => readInput(), signal: undefined, batchIndex: 0,
		});
		return await reply.send(JSON.stringify({result: {data}}));
	} catch (error_) {
		const error = getTRPCErrorFromUnknown(error_);
		const shape = getTRPCErrorShape({
			config: peerRouter._def._config, error, type, path, input: undefined, ctx,
		});
		return reply.code(getHTTPStatusCodeFromError(error)).send(JSON.stringify({error: shape}));
	}
}
