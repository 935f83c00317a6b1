/** The HTTP interface for operators. */
import {
	Controller, Get, Inject, Req, Res,
} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import {matchesHash, readBearerToken} from '../common/index.js';
import type {OperatorSettings} from '../settings/index.js';

/** Injection token of what the controller serves from. */
export const operatorsToken = Symbol('operators');

/** One pool decided on a node. */
export type PoolStatus = {
	pool: string;
	term: number;
	grants: number;
	waiting: number;
};

/** The state of one node. */
export type NodeStatus = {
	box: string;
	incarnation: string;
	phase: string;
	/** Version of the configuration in force. */
	revision: number;
	isPlatformReachable: boolean;
	requestsInProgress: number;
	readyNodes: string[];
	pools: PoolStatus[];
	/** Bytes exchanged with other nodes by this node's calls. */
	controlBytes: number;
	/** Messages of nodes that came without the secret. */
	refusedNodeMessages: number;
};

/** What the controller serves from. */
export type OperatorsContext = {
	teams: OperatorSettings[];
	readStatus: () => NodeStatus;
};

/** Answers operators who show a partner's token. */
@Controller()
export class OperatorsController {
	readonly #context: OperatorsContext;

	constructor(@Inject(operatorsToken) context: OperatorsContext) {
		this.#context = context;
	}

	/** How the node stands. */
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
