/** RPC between gateway nodes, over tRPC: scheduling decisions and views of the fleet. */
import {createTRPCClient, type TRPCClient} from '@trpc/client';
import {initTRPC} from '@trpc/server';
import {Left, Right, type Either} from 'purify-ts';
import {Agent} from 'undici';
import * as z from 'zod';
import {
	readErrorMessage, ReplaceableAgent, type Clock, type CrashTrait, type Failure, type ServiceName,
} from '../../common/index.js';
import type {
	Decision, ReportedLimit, ReportedUsage, Plan, PlanRequest, RetryHistory, RetryRequest, CrashReport,
} from '../../planning/index.js';
import type {ColdServer, EvacuationsSnapshot} from '../../routing/index.js';
import {askWithTimeout} from '../../rpc/node-fetch.js';
import type {PackedText} from '../../rpc/packed-text.js';
import {createIdleTimeout} from '../../rpc/idle-timeout.js';
import {createPeerLink} from './peer-link.js';

/** A decision, or the reason why there is none. */
export type DecisionAnswer = {
	decision?: Decision;
	failure?: Failure;
	/** Crashes attributed to the request, when it is refused because of them. */
	crashes?: CrashReport[];
	/** Crashes attributed to parts of its prompt, when it is refused because of them. */
	partCrashes?: Array<[CrashTrait, CrashReport[]]>;
	/** Evacuated zones, when the request is refused for lack of servers: the asking node may not know of them yet. */
	evacuations?: EvacuationsSnapshot;
};

/** State that a node hands over to its new scheduling node. */
export type Adoption = {
	service: ServiceName;
	/** Plans that the sender is running. */
	plans: Plan[];
	/** Traits of requests that crashed servers, with their crashes. */
	crashRecords: Array<[CrashTrait, CrashReport[]]>;
	/** Request limits that servers announced or lifted. */
	limits: ReportedLimit[];
	/** Servers that are cold although their entries do not say so; absent from nodes of earlier builds. */
	cold?: ColdServer[];
	history: RetryHistory;
	/** Usage of the organisations that use most; undefined where they have no shares. */
	usage?: ReportedUsage[];
};

/** Procedures that a node serves to other nodes. */
export abstract class PeerService {
	abstract decide(request: PlanRequest): DecisionAnswer;
	/** Grants or denies a retry of a request from the fleet's retry budget. */
	abstract grantRetry(request: RetryRequest): boolean;
	abstract adopt(adoption: Adoption): void;
	/** Returns the backend servers if this node has a later revision than the caller's. */
	abstract takeServers(known: {revision: number}): PackedText | undefined;
	/** Returns the changes of the configuration since the caller's version. */
	abstract takeConfig(known: {version: number}): PackedText | undefined;
}

/** Creates a schema that only checks for the given keys: all nodes of a fleet run the same program. */
function createShapeSchema<Shape>(keys: string[]): z.ZodType<Shape> {
	return z.custom<Shape>(value => typeof value === 'object' && value !== null && keys.every(key => key in value));
}

const planRequestSchema = createShapeSchema<PlanRequest>(['requestId', 'service', 'node', 'promptTokens', 'patience', 'timeLeft', 'excluded']);
const retryRequestSchema = createShapeSchema<RetryRequest>(['requestId', 'service', 'node', 'promptTokens']);
const planSchema = createShapeSchema<Plan>(['planId', 'request', 'server', 'helpers']);
const historySchema = createShapeSchema<RetryHistory>(['life', 'age', 'known', 'requests', 'retries', 'meanWorth']);
const crashSchema = z.custom<[CrashTrait, CrashReport[]]>(value => Array.isArray(value) && value.length === 2 && Array.isArray(value[1]));
const coldSchema = createShapeSchema<ColdServer>(['server', 'coldFor']);
const usageSchema = createShapeSchema<ReportedUsage>(['organisation', 'used', 'asked', 'age']);
const limitSchema = createShapeSchema<ReportedLimit>(['server', 'age']);
const serviceSchema = z.string() as unknown as z.ZodType<ServiceName>;

const trpc = initTRPC.context<{service: PeerService}>().create();

/** Router of all procedures between gateway nodes. */
export const peerRouter = trpc.router({
	decide: trpc.procedure.input(planRequestSchema).mutation(({ctx, input}) => ctx.service.decide(input)),
	grantRetry: trpc.procedure.input(retryRequestSchema).mutation(({ctx, input}) => ctx.service.grantRetry(input)),
	adopt: trpc.procedure.input(z.object({
		service: serviceSchema, plans: z.array(planSchema), crashRecords: z.array(crashSchema), limits: z.array(limitSchema), cold: z.array(coldSchema).optional(), history: historySchema, usage: z.array(usageSchema).optional(),
	})).mutation(({ctx, input}) => {
		ctx.service.adopt(input);
		return true;
	}),
	takeServers: trpc.procedure.input(z.object({revision: z.number()})).query(({ctx, input}) => ctx.service.takeServers(input)),
	takeConfig: trpc.procedure.input(z.object({version: z.number()})).query(({ctx, input}) => ctx.service.takeConfig(input)),
});

export type PeerRouter = typeof peerRouter;

type PeerClient = TRPCClient<PeerRouter>;

/** Timeout for connecting to another node, in milliseconds. */
const connectTimeout = 300;

/** Keep-alive time of an idle connection to another node, in milliseconds. */
const idleTimeout = 30_000;

/** Options of all connections to other nodes; response timeouts are set by the caller of each request. */
const connectionOptions = {connect: {timeout: connectTimeout}, headersTimeout: 0, bodyTimeout: 0};

/** Client of another node and its connection pool. */
type PeerConnection = {client: PeerClient; agent: ReplaceableAgent};

/** A call over a connection of its own. */
export type SingleCall<Answer> = {
	call: (client: PeerClient, signal: AbortSignal) => Promise<Answer>;
	/** Called for each part of the response. */
	onData: () => void;
	/** Maximum time without data from the peer, in milliseconds; the call is aborted after it. */
	longestSilence: number;
	/** Aborts the call when its result is no longer needed. */
	signal: AbortSignal;
};

/** Clients of other nodes, by address. */
export class PeerClients {
	readonly #clock: Clock;
	readonly #onAbandoned: (() => void) | undefined;
	readonly #connections = new Map<string, PeerConnection>();
	readonly #singleCallAgents = new Set<Agent>();

	/** `onAbandoned` is called when the pooled connections to a node are abandoned after a call on them timed out. */
	constructor(clock: Clock, onAbandoned?: () => void) {
		this.#clock = clock;
		this.#onAbandoned = onAbandoned;
	}

	/** Calls a node over a pooled connection, with a timeout in milliseconds; resolves to undefined without a response. */
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
	 * Calls a node over a new connection that is closed afterwards; returns the reason when there is no response.
	 *
	 * Meant for rare calls: an idle pooled connection may have broken silently, which only a timed-out call would reveal.
	 * A new connection costs one round trip.
	 */
	async askOnNewConnection<Answer>(address: string, {call, onData, longestSilence, signal}: SingleCall<Answer>): Promise<Either<string, Answer>> {
		const agent = new Agent(connectionOptions);
		const silence = createIdleTimeout(this.#clock, longestSilence, signal);
		const client = createClient(address, () => agent, () => {
			silence.restart();
			onData();
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
	return createTRPCClient<PeerRouter>({links: [createPeerLink(address, findAgent, onData)]});
}
