/** Checks on the messages between nodes; one schema a message. */
import * as z from 'zod';
import type {
	GrantId, Incarnation, OrganisationId, PoolId, RequestId, RunKey, ServiceName, BackendServerId,
} from '../common/index.js';

/** A branded id: a string when checked, its own type when compiled. */
function createId<Id extends string>(): z.ZodType<Id> {
	return z.string().max(300) as unknown as z.ZodType<Id>;
}

const duration = z.number().min(0);

export const poolSchema = z.object({pool: createId<PoolId>()});
export const urlSchema = z.object({url: z.url()});
export const incarnationSchema = z.object({incarnation: createId<Incarnation>()});

export const admitSchema = z.object({
	pool: createId<PoolId>(),
	request: z.object({
		requestId: createId<RequestId>(),
		organisation: createId<OrganisationId>(),
		service: createId<ServiceName>(),
		entry: createId<Incarnation>(),
		promptTokens: z.number().positive(),
		outputTokens: z.number().min(0),
		patience: duration,
		excluded: z.array(createId<BackendServerId>()),
		prefixes: z.object({hashes: z.array(z.string().max(32)).max(16), firstTokens: z.number().min(0)}),
	}),
});

export const heartbeatSchema = z.object({
	pool: createId<PoolId>(),
	entry: createId<Incarnation>(),
	entryUrl: z.string(),
	released: z.array(createId<GrantId>()),
	activeCount: z.int().min(0),
});

export const keyedRequestSchema = z.object({
	organisation: createId<OrganisationId>(),
	runKey: createId<RunKey>(),
	operation: z.enum(['chat', 'text', 'plain']),
	method: z.string(),
	url: z.string(),
	headers: z.record(z.string(), z.string()),
	body: z.string(),
});

export const inheritanceSchema = z.object({
	incarnations: z.array(createId<Incarnation>()),
	outcomes: z.array(z.object({
		organisation: createId<OrganisationId>(),
		runKey: createId<RunKey>(),
		fingerprint: z.string(),
		usableFor: z.number(),
		answer: z.object({
			head: z.object({status: z.int(), headers: z.record(z.string(), z.string())}),
			body: z.string().optional(),
			wasCut: z.boolean(),
		}),
	})),
});
