/**
 * The kinds of objects kept in the platform's object API.
 *
 * The API follows the Kubernetes conventions: every object has a `kind`, a name
 * and a `resourceVersion` that rises with each write to the collection.
 */
import * as z from 'zod';

const services = z.array(z.string()).default([]);

const organisationSpec = z.object({
	partner: z.string(),
	/** SHA-256 of the organisation's keys, hexadecimal. */
	keyHashes: z.array(z.string()),
	/** Services the organisation may call. */
	services,
	/** Requests a minute to one pool; absent where not limited. */
	requestsPerMinute: z.number().positive().optional(),
	/** Tokens a minute to one pool, prompt and longest output. */
	tokensPerMinute: z.number().positive().optional(),
});

const serviceSpec = z.object({
	partner: z.string(),
	region: z.string(),
	/** `engine` runs a model; `plain` is any other HTTP service. */
	type: z.enum(['engine', 'plain']),
	/** Path under which a plain service is called; ends without a slash. */
	pathPrefix: z.string().optional(),
	/** Time bound of a request that names none, in milliseconds. */
	defaultBound: z.int().positive(),
	/** Longest time bound a request may name, in milliseconds. */
	longestBound: z.int().positive(),
	/** Whether engines take a prompt with the beginning of its answer and go on from there. */
	continuable: z.boolean().default(false),
	/** Tokens of output reserved when a request names none. */
	defaultOutputTokens: z.int().positive().default(512),
});

const backendServerSpec = z.object({
	service: z.string(),
	/** Base URL by IP number. */
	url: z.string(),
	availabilityZone: z.string(),
	/** Tokens of KV cache an engine holds; requests at once for a plain service. */
	capacity: z.int().positive(),
	/** A leaving backend server gets no new work. */
	state: z.enum(['live', 'leaving']).default('live'),
	/** Prompt tokens read a second. The default is an assumption: the partners have not supplied figures. */
	prefillRate: z.number().positive().default(20_000),
	/** Milliseconds between two tokens of an answer. An assumption too. */
	tokenInterval: z.number().positive().default(30),
	/** Whether it checks the fence of an order. */
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
	/** Name of the box that holds the term. */
	holder: z.string(),
	incarnation: z.string(),
	term: z.int().positive(),
});

/** A partner's policy; its name is the partner's. Programs are CEL texts, as src/policy describes them. */
const policySpec = z.object({partner: z.string(), programs: z.record(z.string(), z.string())});

/** Shares of partners in a pool; its name is the pool's. */
const shareAgreementSpec = z.object({shares: z.record(z.string(), z.number().positive())});

/** The platform's lagging list of boxes; the system reads it and never writes it. */
const liveBoxSpec = z.object({state: z.enum(['live', 'leaving'])});

const metadata = z.object({name: z.string(), resourceVersion: z.coerce.number().default(0)});

function defineKind<Kind extends string, Spec extends z.ZodType>(kind: Kind, spec: Spec) {
	return z.object({kind: z.literal(kind), metadata, spec});
}

/** Checks an object read from the platform. */
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

/** An object of any kind. */
export type PlatformObject = z.infer<typeof platformObjectSchema>;
/** An object as written by hand or by a test, with defaults left out. */
export type PlatformObjectInput = z.input<typeof platformObjectSchema>;
/** Names of the kinds. */
export type ObjectKind = PlatformObject['kind'];
/** The spec of a kind. */
export type SpecOf<Kind extends ObjectKind> = Extract<PlatformObject, {kind: Kind}>['spec'];

/** A change seen by a watch. */
export type WatchEvent = {
	type: 'ADDED' | 'MODIFIED' | 'DELETED';
	object: PlatformObject;
};
