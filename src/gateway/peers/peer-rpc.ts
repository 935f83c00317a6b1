/** The calls between gateway nodes, over tRPC: plans and views of the fleet. */
import {createTRPCClient, httpLink, type TRPCClient} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {Left, Right, type Either} from 'purify-ts';
import {Agent} from 'undici';
import * as z from 'zod';
import {
	readErrorMessage, ReplaceableAgent, type Clock, type RequestFingerprint, type Failure, type ServiceName,
} from '../../common/index.js';
import type {
	Decision, ReportedLimit, Plan, PlanRequest, RetryHistory, RetryRequest, CrashReport,
} from '../../planning/index.js';
import {
	askWithTimeout, rpcPath, sendNodeRequest, type NodeRequest,
} from '../../rpc/node-fetch.js';
import type {PackedText} from '../../rpc/packed-text.js';
import {createIdleTimeout} from '../../rpc/idle-timeout.js';

/** A decision, or why there is none. */
export type DecisionAnswer = {
	decision?: Decision;
	failure?: Failure;
	/** Servers that have ended while they ran the request, when it is refused for that. */
	crashes?: CrashReport[];
};

/** What a node tells the one that decides for it from now on. */
export type Adoption = {
	service: ServiceName;
	/** Plans that it carries out. */
	plans: Plan[];
	/** Requests under which servers have ended. */
	crashRecords: Array<[RequestFingerprint, CrashReport[]]>;
	/** Limits that servers have named or lifted. */
	limits: ReportedLimit[];
	history: RetryHistory;
};

/** What a node answers to others. */
export abstract class PeerService {
	abstract decide(request: PlanRequest): DecisionAnswer;
	/** Grants one more try of a request out of the fleet's budget, or says no. */
	abstract grantRetry(request: RetryRequest): boolean;
	abstract adopt(adoption: Adoption): void;
	/** Gives the servers, when they are known up to a later revision than the asking node knows. */
	abstract takeServers(known: {revision: number}): PackedText | undefined;
	/** Gives what changed in the configuration since the version that the asking node knows. */
	abstract takeConfig(known: {version: number}): PackedText | undefined;
}

/** A check that only looks at the outer shape: nodes of one fleet run the same program. */
function createShapeSchema<Shape>(keys: string[]): z.ZodType<Shape> {
	return z.custom<Shape>(value => typeof value === 'object' && value !== null && keys.every(key => key in value));
}

const planRequestSchema = createShapeSchema<PlanRequest>(['requestId', 'service', 'node', 'promptTokens', 'patience', 'timeLeft', 'excluded']);
const retryRequestSchema = createShapeSchema<RetryRequest>(['requestId', 'service', 'node', 'promptTokens']);
const planSchema = createShapeSchema<Plan>(['planId', 'request', 'server', 'helpers']);
const historySchema = createShapeSchema<RetryHistory>(['life', 'age', 'known', 'requests', 'retries', 'meanWorth']);
const crashSchema = z.custom<[RequestFingerprint, CrashReport[]]>(value => Array.isArray(value) && value.length === 2 && Array.isArray(value[1]));
const limitSchema = createShapeSchema<ReportedLimit>(['server', 'age']);
const serviceSchema = z.string() as unknown as z.ZodType<ServiceName>;

const trpc = initTRPC.context<{service: PeerService}>().create();

/** All calls between gateway nodes. */
export const peerRouter = trpc.router({
	decide: trpc.procedure.input(planRequestSchema).mutation(({ctx, input}) => ctx.service.decide(input)),
	grantRetry: trpc.procedure.input(retryRequestSchema).mutation(({ctx, input}) => ctx.service.grantRetry(input)),
	adopt: trpc.procedure.input(z.object({
		service: serviceSchema, plans: z.array(planSchema), crashRecords: z.array(crashSchema), limits: z.array(limitSchema), history: historySchema,
	})).mutation(({ctx, input}) => {
		ctx.service.adopt(input);
		return true;
	}),
	takeServers: trpc.procedure.input(z.object({revision: z.number()})).query(({ctx, input}) => ctx.service.takeServers(input)),
	takeConfig: trpc.procedure.input(z.object({version: z.number()})).query(({ctx, input}) => ctx.service.takeConfig(input)),
});

type PeerClient = TRPCClient<typeof peerRouter>;

/** Time for a connection to another node, in milliseconds. */
const connectTimeout = 300;

/** How long an idle connection to another node is kept, in milliseconds. */
const idleTimeout = 30_000;

/** What all connections to other nodes have in common; how long an answer may take is counted by who waits for it. */
const connectionOptions = {connect: {timeout: connectTimeout}, headersTimeout: 0, bodyTimeout: 0};

/** How another node is reached. */
type PeerConnection = {client: PeerClient; agent: ReplaceableAgent};

/** A question over a connection of its own. */
export type SingleCall<Answer> = {
	call: (client: PeerClient, signal: AbortSignal) => Promise<Answer>;
	/** Called with each part of the answer. */
	onData: () => void;
	/** Silence after which it is given up, in milliseconds. */
	longestSilence: number;
	/** Fires when nobody wants the answer any more. */
	signal: AbortSignal;
};

/** Clients of other nodes, by address. */
export class PeerClients {
	readonly #clock: Clock;
	readonly #onAbandoned: (() => void) | undefined;
	readonly #connections = new Map<string, PeerConnection>();
	readonly #singleCallAgents = new Set<Agent>();

	/** `onLeft` is called when the kept connections to a node are left because one of them was silent. */
	constructor(clock: Clock, onAbandoned?: () => void) {
		this.#clock = clock;
		this.#onAbandoned = onAbandoned;
	}

	/** Calls a node over a kept connection and gives up after a time in milliseconds; undefined when there was no answer. */
	async ask<Answer>(address: string, timeout: number, call: (client: PeerClient, signal: AbortSignal) => Promise<Answer>): Promise<Answer | undefined> {
		const {client, agent} = this.#findConnection(address);
		const used = agent.current;
		return askWithTimeout(this.#clock, timeout, async signal => {
			try {
				return await call(client, signal);
			} finally {
				if (signal.aborted && agent.replace(used)) {
					this.#onAbandoned?.();
				}
			}
		});
	}

	/**
	 * Asks a node over a connection that is opened for this question and closed after it; the reason when there is no answer.
	 *
	 * For questions that are rare: a connection that has been at rest may have fallen silent meanwhile, and only a
	 * question that waits in vain would find out. Opening one takes a round trip.
	 */
	async askOnNewConnection<Answer>(address: string, {call, onData: onHeard, longestSilence, signal}: SingleCall<Answer>): Promise<Either<string, Answer>> {
		const agent = new Agent(connectionOptions);
		const silence = createIdleTimeout(this.#clock, longestSilence, signal);
		const client = createClient(address, () => agent, () => {
			silence.restart();
			onHeard();
		});
		this.#singleCallAgents.add(agent);
		try {
			return Right(await call(client, silence.signal));
		} catch (error) {
			return Left(silence.signal.aborted ? `silent for ${longestSilence} ms` : readErrorMessage(error));
		} finally {
			silence.cancel();
			this.#singleCallAgents.delete(agent);
			void agent.destroy();
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([...this.#connections.values()].map(async ({agent}) => agent.close()));
		await Promise.all([...this.#singleCallAgents].map(async agent => agent.destroy()));
	}

	#findConnection(address: string): PeerConnection {
		let connection = this.#connections.get(address);
		if (connection === undefined) {
			const agent = new ReplaceableAgent({...connectionOptions, keepAliveTimeout: idleTimeout});
			connection = {agent, client: createClient(address, () => agent.current)};
			this.#connections.set(address, connection);
		}

		return connection;
	}
}

function createClient(address: string, findAgent: () => Agent, onData?: () => void): PeerClient {
	return createTRPCClient<typeof peerRouter>({
		links: [httpLink({
			url: `http://${address}${rpcPath}`,
			fetch: (async (target: string, init: NodeRequest) => sendNodeRequest(findAgent(), target, init, onData)) as unknown as typeof fetch,
		})],
	});
}
