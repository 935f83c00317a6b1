// Guards the calls between nodes of different builds: earlier ones use the HTTP link and the Fastify adapter of tRPC, and a
// fleet runs both during a rollout.
import {afterAll, expect, test} from '@jest/globals';
import {createTRPCClient, httpLink} from '@trpc/client';
import {fastifyTRPCPlugin} from '@trpc/server/adapters/fastify';
import fastify, {type FastifyInstance} from 'fastify';
import {Agent} from 'undici';
import {createPeerLink} from '../src/gateway/peers/peer-link.js';
import {
	addPeerRoutes, peerRouter, PeerService, type DecisionAnswer, type PeerRouter,
} from '../src/gateway/peers/index.js';
import type {PlanRequest} from '../src/planning/index.js';
import {rpcPath} from '../src/rpc/node-fetch.js';
import {processHost} from './helpers/process-host.js';

/** Answers with what it was asked. */
class EchoService extends PeerService {
	override decide(request: PlanRequest): DecisionAnswer {
		return {failure: {kind: 'no_backend_server', message: JSON.stringify(request)}};
	}

	override grantRetry(): never {
		throw new RangeError('no retries here');
	}

	override adopt() {} // eslint-disable-line @typescript-eslint/no-empty-function

	override takeServers(known: {revision: number}) {
		return known.revision === 0 ? {form: 'plain' as const, text: 'sérvers'} : undefined;
	}

	override takeConfig(known: {version: number}) {
		return {form: 'plain' as const, text: String(known.version)};
	}
}

const service = new EchoService();
const agent = new Agent();
const started: FastifyInstance[] = [];

async function startServer(build: 'earlier' | 'present'): Promise<string> {
	const server = fastify();
	started.push(server);
	if (build === 'earlier') {
		await server.register(fastifyTRPCPlugin, {prefix: rpcPath, trpcOptions: {router: peerRouter, createContext: () => ({service})}});
	} else {
		addPeerRoutes(server, service);
	}

	const url = await server.listen({host: processHost, port: 0});
	return url.replace('http://', '');
}

function createLink(build: 'earlier' | 'present', address: string) {
	return build === 'earlier' ? httpLink<PeerRouter>({url: `http://${address}${rpcPath}`}) : createPeerLink(address, () => agent);
}

afterAll(async () => {
	await Promise.all([agent.close(), ...started.map(async server => server.close())]);
});

test.each([
	['present', 'present'], ['present', 'earlier'], ['earlier', 'present'], ['earlier', 'earlier'],
] as const)('a node of the %s build calls one of the %s build', async (caller, server) => {
	const address = await startServer(server);
	const client = createTRPCClient<PeerRouter>({links: [createLink(caller, address)]});
	const request = {
		requestId: 'r', service: 'model', node: 'a', promptTokens: 1, patience: 1, timeLeft: 1, excluded: ['&?ü'],
	};
	expect(await client.decide.mutate(request as never)).toEqual({failure: {kind: 'no_backend_server', message: JSON.stringify(request)}});
	expect(await client.takeServers.query({revision: 0})).toEqual({form: 'plain', text: 'sérvers'});
	expect(await client.takeServers.query({revision: 1})).toBeUndefined();
	expect(await client.takeConfig.query({version: 7})).toEqual({form: 'plain', text: '7'});
	await expect(client.grantRetry.mutate(request as never)).rejects.toThrow('no retries here');
	await expect(client.takeConfig.query({} as never)).rejects.toThrow('version');
	await expect(client.decide.mutate({})).rejects.toMatchObject({data: {httpStatus: 400, path: 'decide'}});
});

test('a call whose signal is aborted fails', async () => {
	const client = createTRPCClient<PeerRouter>({links: [createPeerLink(await startServer('present'), () => agent)]});
	const controller = new AbortController();
	const call = client.takeConfig.query({version: 1}, {signal: controller.signal});
	controller.abort();
	await expect(call).rejects.toThrow();
});

test('a procedure that only changes state is not served as a query, and an unknown one not at all', async () => {
	const address = await startServer('present');
	const ask = async (path: string) => {
		const {statusCode, body} = await agent.request({origin: `http://${address}`, path: `${rpcPath}/${path}`, method: 'GET'});
		await body.dump();
		return statusCode;
	};

	expect(await ask('adopt?input={}')).not.toBe(200);
	expect(await ask('forget?input={}')).toBe(404);
	expect(await ask('takeConfig?input={')).toBe(400);
});
