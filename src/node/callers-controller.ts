/** HTTP API for callers. */
import {Buffer} from 'node:buffer';
import {
	All, Controller, Get, Inject, Post, Query, Req, Res,
} from '@nestjs/common';
import type {FastifyReply, FastifyRequest} from 'fastify';
import type {AvailabilityZone} from '../common/index.js';
import {
	HttpResponseSink, sendFailure, type Entry, type RawRequest,
} from './entry/index.js';
import type {AddressResponse} from './entry/addresses.js';

/** Injection token of the controller context. */
export const callersToken = Symbol('callers');

/** Dependencies of the controller. */
export type CallersContext = {
	entry: Entry;
	availabilityZone: AvailabilityZone;
};

/** Forwards requests of callers to the entry. */
@Controller()
export class CallersController {
	readonly #context: CallersContext;

	constructor(@Inject(callersToken) context: CallersContext) {
		this.#context = context;
	}

	/** Lists the caller addresses of the nodes, those in the requested availability zone first. */
	@Get('v1/addresses')
	listAddresses(@Query('availabilityZone') zone: string | undefined): AddressResponse {
		return this.#context.entry.listAddresses((zone ?? this.#context.availabilityZone) as AvailabilityZone);
	}

	/** Lists the models available to the owner of the API key, in the format of OpenAI. */
	@Get('v1/models')
	async listModels(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		const models = this.#context.entry.listModels(request.headers);
		if (models.isLeft()) {
			sendFailure(hijackReply(reply), models.extract(), false);
			return;
		}

		const names = models.extract() as string[];
		await reply.send({
			object: 'list',
			data: names.map(id => ({
				id, object: 'model', created: 0, owned_by: 'cresshook',
			})),
		});
	}

	@Post('v1/chat/completions')
	async completeChat(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#context.entry.serveCompletion(readRawRequest(request), 'chat', hijackReply(reply));
	}

	@Post('v1/completions')
	async completeText(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#context.entry.serveCompletion(readRawRequest(request), 'text', hijackReply(reply));
	}

	/** Handles every other path as a call to a plain service. */
	@All('*')
	async callPlain(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#context.entry.servePlain(readRawRequest(request), hijackReply(reply));
	}
}

function readRawRequest(request: FastifyRequest): RawRequest {
	const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
	return {
		method: request.method, url: request.url, headers: request.headers, body,
	};
}

/** Takes over the raw response from Fastify, so that it can be buffered and streamed. */
function hijackReply(reply: FastifyReply): HttpResponseSink {
	void reply.hijack();
	return new HttpResponseSink(reply.raw);
}
