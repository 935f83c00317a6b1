/** Validation schemas of the messages between nodes. */
import * as z from 'zod';
import type {
	GrantId, Incarnation, OrganisationId, PoolId, RequestId, RunKey, ServiceName, BackendServerId,
} from '../common/index.js';

/** Creates a schema that accepts a string of at most 300 characters and yields a branded id. */
function createIdSchema<Id extends string>(): z.ZodType<Id> {
	return z.string().max(300) as unknown as z.ZodType<Id>;
}

const duration = z.number().min(0);

export const poolSchema = z.object({pool: createIdSchema<PoolId>()});
export const urlSchema = z.object({url: z.url()});
export const incarnationSchema = z.object({incarnation: createIdSchema<Incarnation>()});

export const admitSchema = z.object({
	pool: createIdSchema<PoolId>(),
	request: z.object({
		requestId: createIdSchema<RequestId>(),
		organisation: createIdSchema<OrganisationId>(),
		service: createIdSchema<ServiceName>(),
		entry: createIdSchema<Incarnation>(),
		promptTokens: z.number().positive(),
		outputTokens: z.number().min(0),
		patience: duration,
		excluded: z.array(createIdSchema<BackendServerId>()),
		prefixes: z.object({hashes: z.array(z.string().max(32)).max(16), firstTokens: z.number().min(0)}),
	}),
});

export const heartbeatSchema = z.object({
	pool: createIdSchema<PoolId>(),
	entry: createIdSchema<Incarnation>(),
	entryUrl: z.string(),
	released: z.array(createIdSchema<GrantId>()),
	activeCount: z.int().min(0),
});

export const keyedRequestSchema = z.object({
	organisation: createIdSchema<OrganisationId>(),
	runKey: createIdSchema<RunKey>(),
	operation: z.enum(['chat', 'text', 'plain']),
	method: z.string(),
	url: z.string(),
	headers: z.record(z.string(), z.string()),
	body: z.string(),
});

export const outcomeTransferSchema = z.object({
	incarnations: z.array(createIdSchema<Incarnation>()),
	outcomes: z.array(z.object({
		organisation: createIdSchema<OrganisationId>(),
		runKey: createIdSchema<RunKey>(),
		fingerprint: z.string(),
		usableFor: z.number(),
		answer: z.object({
			head: z.object({status: z.int(), headers: z.record(z.string(), z.string())}),
			body: z.string().optional(),
			wasCut: z.boolean(),
		}),
	})),
});
