/** HTTP API for operators. */
import {
	Controller, Get, Inject, Req, Res,
} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import {matchesHash, readBearerToken} from '../common/index.js';
import type {OperatorSettings} from '../settings/index.js';

/** Injection token of the controller context. */
export const operatorsToken = Symbol('operators');

/** Status of a pool for which the node is the dispatcher. */
export type PoolStatus = {
	pool: string;
	term: number;
	grants: number;
	waiting: number;
};

/** Status of a node. */
export type NodeStatus = {
	box: string;
	incarnation: string;
	phase: string;
	/** Version of the configuration that the node applies. */
	revision: number;
	isPlatformReachable: boolean;
	requestsInProgress: number;
	readyNodes: string[];
	pools: PoolStatus[];
	/** Bytes sent and received by calls of this node to other nodes. */
	controlBytes: number;
	/** Number of node-to-node messages rejected because of a missing or invalid secret. */
	refusedNodeMessages: number;
};

/** Dependencies of the controller. */
export type OperatorsContext = {
	teams: OperatorSettings[];
	readStatus: () => NodeStatus;
};

/** Serves operators who authenticate with the token of a partner. */
@Controller()
export class OperatorsController {
	readonly #context: OperatorsContext;

	constructor(@Inject(operatorsToken) context: OperatorsContext) {
		this.#context = context;
	}

	/** Returns the status of the node. */
	@Get('v1/status')
	async readStatus(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		const token = readBearerToken(request.headers.authorization);
		const isKnown = this.#context.teams.some(team => matchesHash(token, team.tokenHash));
		if (!isKnown) {
			await reply.code(401).send({error: {message: 'send `Authorization: Bearer TOKEN` with your partner\'s token', code: 'unknown_token'}});
			return;
		}

		await reply.send(this.#context.readStatus());
	}
}
