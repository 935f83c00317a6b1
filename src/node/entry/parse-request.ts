/** Parses and validates a caller's HTTP request into a `CallerRequest`. */
import type {IncomingHttpHeaders} from 'node:http';
import {Left, Right, type Either} from 'purify-ts';
import * as z from 'zod';
import {
	createFailure, formatPoolId, readBearerToken, type Clock, type Failure, type OrganisationId, type RequestId, type RunKey, type ServiceName,
} from '../../common/index.js';
import type {ViewEntry, FleetView} from '../config/index.js';
import {noPrefixes} from '../dispatch/index.js';
import type {CallerRequest, CompletionBody, Operation} from './caller-request.js';
import {timeLimitHeader, notRepeatableHeader, runKeyHeader} from './headers.js';
import {parseJsonBody} from './large-body.js';
import type {TokenEstimator} from './token-estimator.js';

/** An HTTP request before parsing. */
export type RawRequest = {
	method: string;
	/** Path and query. */
	url: string;
	headers: IncomingHttpHeaders;
	body: Uint8Array;
};

/** Dependencies of parsing. */
export type ParseContext = {
	clock: Clock;
	view: FleetView;
	estimator: TokenEstimator;
	createRequestId(): RequestId;
};

const plainServiceHeaders = ['accept', 'accept-language', 'content-type'];
const forwardedHeaders = [...plainServiceHeaders, 'authorization', timeLimitHeader, notRepeatableHeader, runKeyHeader];
const repeatableMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

const positiveInteger = z.int().positive().nullish();
const completionSchema = z.looseObject({
	model: z.string({error: '`model` must name a service'}),
	stream: z.boolean({error: '`stream` must be true or false'}).nullish(),
	n: z.int({error: '`n` must be a whole number from 1 to 16'}).min(1).max(16).nullish(),
	max_tokens: positiveInteger,
	max_completion_tokens: positiveInteger,
});
const messageSchema = z.looseObject({}, {error: 'a message must be an object with `role` and `content`'});
const chatSchema = completionSchema.extend({
	messages: z.array(messageSchema, {error: '`messages` must be a list'}).min(1, {error: '`messages` must not be empty'}),
});
const textSchema = completionSchema.extend({
	prompt: z.union([z.string(), z.array(z.unknown())], {error: '`prompt` must be a string or a list'}),
});

/** Finds the organisation that owns the request's API key. */
export function authenticate(headers: IncomingHttpHeaders, view: FleetView): Either<Failure, ViewEntry<'Organisation'>> {
	const key = readBearerToken(headers.authorization);
	const owner = key === '' ? undefined : view.findKeyOwner(key);
	const organisation = owner === undefined ? undefined : view.find('Organisation', owner);
	return organisation === undefined
		? Left(createFailure('unknown_key', 'the key is missing or unknown; send `Authorization: Bearer KEY` with a key of your organisation'))
		: Right(organisation);
}

/** Parses a completion request. */
export async function parseCompletion(raw: RawRequest, operation: 'chat' | 'text', parts: ParseContext): Promise<Either<Failure, CallerRequest>> {
	const authenticated = authenticate(raw.headers, parts.view);
	if (authenticated.isLeft()) {
		// The body of an unauthenticated request is not parsed, since it may be large.
		return Left(authenticated.extract());
	}

	const json = await parseJsonBody(raw.body);
	return authenticated.chain(organisation =>
		json.chain(body => checkBody(body, operation)).chain(completion =>
			findService(completion.model, 'engine', organisation, parts.view).chain(service =>
				buildRequest({
					raw, operation, organisation, service, completion,
				}, parts))));
}

/** Parses a call to a plain service. */
export function parsePlainCall(raw: RawRequest, parts: ParseContext): Either<Failure, CallerRequest> {
	return authenticate(raw.headers, parts.view).chain(organisation => {
		const name = findServiceByPath(raw.url, parts.view);
		if (name === undefined) {
			return Left(createFailure('unknown_path', `no service is configured for the path ${raw.url.split('?', 1)[0]}`));
		}

		return findService(name, 'plain', organisation, parts.view).chain(service =>
			buildRequest({
				raw, operation: 'plain', organisation, service, completion: undefined,
			}, parts));
	});
}

function checkBody(body: unknown, operation: 'chat' | 'text'): Either<Failure, CompletionBody> {
	const schema = operation === 'chat' ? chatSchema : textSchema;
	const checked = schema.safeParse(body);
	if (checked.success) {
		return Right(checked.data as CompletionBody);
	}

	const [issue] = checked.error.issues;
	return Left(createFailure('invalid_request', `${issue.path.join('.') || 'body'}: ${issue.message}`));
}

function findServiceByPath(url: string, view: FleetView): string | undefined {
	const path = url.split('?', 1)[0];
	const matching = view.list('Service')
		.filter(({type, pathPrefix}) => type === 'plain' && pathPrefix !== undefined && (path === pathPrefix || path.startsWith(`${pathPrefix}/`)))
		.sort((left, right) => (right.pathPrefix ?? '').length - (left.pathPrefix ?? '').length);
	return matching[0]?.name;
}

function findService(name: string, type: 'engine' | 'plain', organisation: ViewEntry<'Organisation'>, view: FleetView): Either<Failure, ViewEntry<'Service'>> {
	const service = view.find('Service', name);
	if (service?.type !== type) {
		return Left(createFailure('unknown_model', `there is no model '${name}'; GET /v1/models lists those you may use`));
	}

	return organisation.services.includes(name)
		? Right(service)
		: Left(createFailure('service_forbidden', `organisation '${organisation.name}' may not use '${name}'; ask your operators to add it to the organisation's services`));
}

type ResolvedRequest = {
	raw: RawRequest;
	operation: Operation;
	organisation: ViewEntry<'Organisation'>;
	service: ViewEntry<'Service'>;
	completion: CompletionBody | undefined;
};

function buildRequest({raw, operation, organisation, service, completion}: ResolvedRequest, parts: ParseContext): Either<Failure, CallerRequest> {
	return parseTimeLimit(raw.headers, service).chain(timeLimit => parseRunFlags(raw, operation).map(flags => {
		const name = service.name as ServiceName;
		const arrivedAt = parts.clock.readMonotonic();
		const requestId = parts.createRequestId();
		return {
			requestId,
			organisation: organisation.name as OrganisationId,
			service: name,
			serviceSpec: service,
			pool: formatPoolId(name, service.region),
			operation,
			method: raw.method,
			path: raw.url,
			headers: operation === 'plain' ? buildHeaders(raw, requestId, organisation.name, flags.runKey) : {},
			rawHeaders: pickHeaders(raw.headers, forwardedHeaders),
			body: raw.body,
			completion,
			promptTokens: operation === 'plain' ? 1 : parts.estimator.estimate(name, raw.body.length),
			prefixes: noPrefixes,
			outputTokens: operation === 'plain' ? 0 : countOutputTokens(completion, service),
			arrivedAt,
			deadline: arrivedAt + timeLimit,
			...flags,
		};
	}));
}

function parseTimeLimit(headers: IncomingHttpHeaders, service: ViewEntry<'Service'>): Either<Failure, number> {
	const text = headers[timeLimitHeader];
	if (text === undefined) {
		return Right(service.defaultBound);
	}

	const timeLimit = Number(text);
	return Number.isInteger(timeLimit) && timeLimit >= 1 && timeLimit <= service.longestBound
		? Right(timeLimit)
		: Left(createFailure('invalid_time_bound', `${timeLimitHeader} is '${String(text)}'; it must be whole milliseconds from 1 to ${service.longestBound}`));
}

function parseRunFlags(raw: RawRequest, operation: Operation): Either<Failure, {isRepeatable: boolean; runKey: RunKey | undefined}> {
	const runKey = raw.headers[runKeyHeader] as RunKey | undefined;
	const notRepeatable = raw.headers[notRepeatableHeader];
	if (notRepeatable !== undefined && notRepeatable !== 'true' && notRepeatable !== 'false') {
		return Left(createFailure('invalid_request', `${notRepeatableHeader} is '${String(notRepeatable)}'; it must be true or false`));
	}

	const isRepeatable = operation !== 'plain' || repeatableMethods.has(raw.method);
	return Right({isRepeatable: isRepeatable && notRepeatable !== 'true' && runKey === undefined, runKey});
}

function buildHeaders(raw: RawRequest, requestId: RequestId, organisation: string, runKey: RunKey | undefined): Record<string, string> {
	const headers = {...pickHeaders(raw.headers, plainServiceHeaders), 'x-request-id': requestId, 'x-organisation': organisation};
	return runKey === undefined ? headers : {...headers, 'idempotency-key': runKey};
}

function pickHeaders(headers: IncomingHttpHeaders, names: string[]): Record<string, string> {
	const picked: Record<string, string> = {};
	for (const name of names) {
		const value = headers[name];
		if (typeof value === 'string') {
			picked[name] = value;
		}
	}

	return picked;
}

function countOutputTokens(completion: CompletionBody | undefined, service: ViewEntry<'Service'>): number {
	const limit = completion?.max_completion_tokens ?? completion?.max_tokens ?? service.defaultOutputTokens;
	return Number(limit) * Number(completion?.n ?? 1);
}
