/** The HTTP interface for callers. */
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

/** Injection token of what the controller serves from. */
export const callersToken = Symbol('callers');

/** What the controller serves from. */
export type CallersContext = {
	entry: Entry;
	availabilityZone: AvailabilityZone;
};

/** Routes callers' requests into the entry. */
@Controller()
export class CallersController {
	readonly #context: CallersContext;

	constructor(@Inject(callersToken) context: CallersContext) {
		this.#context = context;
	}

	/** The entry addresses to use, those of the asked-for availability zone first. */
	@Get('v1/addresses')
	listAddresses(@Query('availabilityZone') zone: string | undefined): AddressResponse {
		return this.#context.entry.listAddresses((zone ?? this.#context.availabilityZone) as AvailabilityZone);
	}

	/** The models that the key's owner may use, in OpenAI's shape. */
	@Get('v1/models')
	async listModels(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		const models = this.#context.entry.listModels(request.headers);
		if (models.isLeft()) {
			sendFailure(takeSink(reply), models.extract(), false);
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
		await this.#context.entry.serveCompletion(readRaw(request), 'chat', takeSink(reply));
	}

	@Post('v1/completions')
	async completeText(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#context.entry.serveCompletion(readRaw(request), 'text', takeSink(reply));
	}

	/** Everything else is a call on a plain service. */
	@All('*')
	async callPlain(@Req() request: FastifyRequest, @Res() reply: FastifyReply): Promise<void> {
		await this.#context.entry.servePlain(readRaw(request), takeSink(reply));
	}
}

function readRaw(request: FastifyRequest): RawRequest {
	const body = Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
	return {
		method: request.method, url: request.url, headers: request.headers, body,
	};
}

/** From here on the answer is written to the connection itself, so that it can be streamed and held back. */
function takeSink(reply: FastifyReply): HttpResponseSink {
	void reply.hijack();
	return new HttpResponseSink(reply.raw);
}
