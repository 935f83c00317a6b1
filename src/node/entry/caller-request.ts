/** A caller's request, checked and understood. */
import type {
	Failure, Incarnation, OrganisationId, PoolId, RequestId, RunKey, ServiceName,
} from '../../common/index.js';
import type {PromptPrefixes} from '../dispatch/index.js';
import type {SpecOf} from '../../store/index.js';

/** How the request is run: on an engine as a completion, or on a plain service as it is. */
export type Operation = 'chat' | 'text' | 'plain';

/** JSON object of a completion request; only what the system reads is named. */
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
	/** Path and query at the backend server. */
	path: string;
	/** Headers for a plain service. */
	headers: Record<string, string>;
	/** The caller's own headers as far as the request depends on them, its key included; passed to the owner of a run key. */
	rawHeaders: Record<string, string>;
	/** The body as received. */
	body: Uint8Array;
	/** The body of a completion, parsed. */
	completion: CompletionBody | undefined;
	/** Estimated tokens of the prompt. */
	promptTokens: number;
	/** Hashes of the prompt's beginnings. */
	prefixes: PromptPrefixes;
	/** Tokens of output to hold memory for. */
	outputTokens: number;
	/** Monotonic time of arrival, in milliseconds. */
	arrivedAt: number;
	/** Monotonic time by which the caller has an answer or an error, in milliseconds. */
	deadline: number;
	/** Whether running it twice does no harm. */
	isRepeatable: boolean;
	runKey: RunKey | undefined;
};

/** What the caller's side keeps for the record of one request. */
export type RequestOutcome = {
	/** Absent when the whole answer was given. */
	failure?: Failure;
	/** Milliseconds from arrival to the first token or byte; absent where there was none. */
	timeToFirstToken?: number;
};

/** Names the request on the engine for one attempt: engines know attempts, callers know requests. */
export function formatAttemptId(requestId: RequestId, attempt: number): RequestId {
	return (attempt === 1 ? requestId : `${requestId}-${attempt}`) as RequestId;
}

/** Makes a request id that tells which entry holds it, so that an orphan's owner can be found. */
export function formatRequestId(incarnation: Incarnation, count: number): RequestId {
	return `${incarnation.split('.')[0]}.${count.toString(36)}` as RequestId;
}
