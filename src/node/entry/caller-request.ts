/** A caller's validated request. */
import type {
	Failure, Incarnation, OrganisationId, PoolId, RequestId, RunKey, ServiceName,
} from '../../common/index.js';
import type {PromptPrefixes} from '../dispatch/index.js';
import type {SpecOf} from '../../store/index.js';

/** Kind of request: a chat or text completion on an engine, or a call proxied unchanged to a plain service. */
export type Operation = 'chat' | 'text' | 'plain';

/** Body of a completion request; only the fields read here are typed. */
export type CompletionBody = Record<string, unknown> & {
	model: string;
	stream?: boolean;
};

/** A request that may be sent to a backend server. */
export type CallerRequest = {
	requestId: RequestId;
	organisation: OrganisationId;
	service: ServiceName;
	serviceSpec: SpecOf<'Service'>;
	pool: PoolId;
	operation: Operation;
	method: string;
	/** Path and query sent to the backend server. */
	path: string;
	/** Headers sent to a plain service; empty for completions. */
	headers: Record<string, string>;
	/** The caller's headers that affect the request, including the API key; forwarded to the owner of a run key. */
	rawHeaders: Record<string, string>;
	/** Unparsed body. */
	body: Uint8Array;
	/** Parsed body of a completion; undefined for plain calls. */
	completion: CompletionBody | undefined;
	/** Estimated prompt length in tokens. */
	promptTokens: number;
	/** Hashes of the prompt's prefixes, for cache-aware placement. */
	prefixes: PromptPrefixes;
	/** Output tokens for which memory is reserved. */
	outputTokens: number;
	/** Monotonic time of arrival, in milliseconds. */
	arrivedAt: number;
	/** Monotonic time by which the caller must have a response or an error, in milliseconds. */
	deadline: number;
	/** Whether the request may run more than once. */
	isRepeatable: boolean;
	runKey: RunKey | undefined;
};

/** Outcome of a request, for logs and metrics. */
export type RequestOutcome = {
	/** Undefined if the response was complete. */
	failure?: Failure;
	/** Milliseconds from arrival to the first token or byte; undefined if there was none. */
	timeToFirstToken?: number;
};

/** Formats the id under which an engine runs one attempt; the first attempt uses the request id itself. */
export function formatAttemptId(requestId: RequestId, attempt: number): RequestId {
	return (attempt === 1 ? requestId : `${requestId}-${attempt}`) as RequestId;
}

/** Formats a request id that contains its entry's id, so that the owner of an orphaned request can be found. */
export function formatRequestId(incarnation: Incarnation, count: number): RequestId {
	return `${incarnation.split('.')[0]}.${count.toString(36)}` as RequestId;
}
