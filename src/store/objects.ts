/**
 * Schemas of the objects stored in the object API of the platform.
 *
 * The API follows Kubernetes conventions: each object has a `kind`, a name and
 * a `resourceVersion` that increases with each write to the collection.
 */
import * as z from 'zod';

const services = z.array(z.string()).default([]);

const organisationSpec = z.object({
	partner: z.string(),
	/** Hexadecimal SHA-256 of the API keys. */
	keyHashes: z.array(z.string()),
	/** Services that the organisation may call. */
	services,
	/** Maximum requests per minute to one pool; absent when unlimited. */
	requestsPerMinute: z.number().positive().optional(),
	/** Maximum tokens per minute to one pool, counting the prompt and the maximum output; absent when unlimited. */
	tokensPerMinute: z.number().positive().optional(),
});

const serviceSpec = z.object({
	partner: z.string(),
	region: z.string(),
	/** `engine` serves a model; `plain` is any other HTTP service. */
	type: z.enum(['engine', 'plain']),
	/** URL path prefix of a plain service, without a trailing slash. */
	pathPrefix: z.string().optional(),
	/** Default time bound of a request, in milliseconds. */
	defaultBound: z.int().positive(),
	/** Maximum time bound that a request may specify, in milliseconds. */
	longestBound: z.int().positive(),
	/** Whether engines can continue a partial answer that is sent with the prompt. */
	continuable: z.boolean().default(false),
	/** Output tokens reserved for a request without an explicit limit. */
	defaultOutputTokens: z.int().positive().default(512),
});

const backendServerSpec = z.object({
	service: z.string(),
	/** Base URL with an IP address as host. */
	url: z.string(),
	availabilityZone: z.string(),
	/** Tokens in the KV cache of an engine; maximum concurrent requests of a plain service. */
	capacity: z.int().positive(),
	/** A backend server in the state `leaving` gets no new requests. */
	state: z.enum(['live', 'leaving']).default('live'),
	/** Prompt tokens prefilled per second. The default is an estimate, since the partners have not supplied figures. */
	prefillRate: z.number().positive().default(20_000),
	/** Milliseconds between two output tokens. The default is an estimate too. */
	tokenInterval: z.number().positive().default(30),
	/** Whether the server rejects orders with an outdated fencing token. */
	checksOrders: z.boolean().default(false),
});

const nodeSpec = z.object({
	incarnation: z.string(),
	region: z.string(),
	availabilityZone: z.string(),
	callerUrl: z.string(),
	nodeUrl: z.string(),
	state: z.enum(['ready', 'leaving']),
});

const dispatcherTermSpec = z.object({
	/** Name of the box whose node holds the term. */
	holder: z.string(),
	incarnation: z.string(),
	term: z.int().positive(),
});

/** Policy of the partner of the same name. Programs are CEL expressions, described in src/policy. */
const policySpec = z.object({partner: z.string(), programs: z.record(z.string(), z.string())});

/** Capacity shares of the partners in the pool of the same name. */
const shareAgreementSpec = z.object({shares: z.record(z.string(), z.number().positive())});

/** Box known to the platform. The list is eventually consistent, and this system only reads it. */
const liveBoxSpec = z.object({state: z.enum(['live', 'leaving'])});

const metadata = z.object({name: z.string(), resourceVersion: z.coerce.number().default(0)});

function defineKind<Kind extends string, Spec extends z.ZodType>(kind: Kind, spec: Spec) {
	return z.object({kind: z.literal(kind), metadata, spec});
}

/** Validates an object read from the platform. */
export const platformObjectSchema = z.discriminatedUnion('kind', [
	defineKind('Organisation', organisationSpec),
	defineKind('Service', serviceSpec),
	defineKind('BackendServer', backendServerSpec),
	defineKind('Node', nodeSpec),
	defineKind('DispatcherTerm', dispatcherTermSpec),
	defineKind('LiveBox', liveBoxSpec),
	defineKind('Policy', policySpec),
	defineKind('ShareAgreement', shareAgreementSpec),
]);

/** Object of any kind. */
export type PlatformObject = z.infer<typeof platformObjectSchema>;
/** Object before validation: fields with defaults may be omitted. */
export type PlatformObjectInput = z.input<typeof platformObjectSchema>;
/** Name of an object kind. */
export type ObjectKind = PlatformObject['kind'];
/** Spec of an object kind. */
export type SpecOf<Kind extends ObjectKind> = Extract<PlatformObject, {kind: Kind}>['spec'];

/** Change reported by a watch. */
export type WatchEvent = {
	type: 'ADDED' | 'MODIFIED' | 'DELETED';
	object: PlatformObject;
};
