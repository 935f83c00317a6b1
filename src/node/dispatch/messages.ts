/** Messages between entry nodes, which receive the callers' requests, and dispatchers. Sizes are in tokens, durations in milliseconds. */
import type {
	BackendServerId, GrantId, Incarnation, OrganisationId, PoolId, RequestId, ServiceName,
} from '../../common/index.js';
import type {PromptPrefixes} from './prefix-index.js';

/** A request that needs a grant to run. */
export type AdmitRequest = {
	requestId: RequestId;
	organisation: OrganisationId;
	service: ServiceName;
	/** The entry node, which uses the grant and releases it. */
	entry: Incarnation;
	/** Estimated length of the prompt. */
	promptTokens: number;
	/** Maximum output requested, over all choices. */
	outputTokens: number;
	/** Maximum time the request can wait. */
	patience: number;
	/** Backend servers that have just failed to run this request. */
	excluded: BackendServerId[];
	prefixes: PromptPrefixes;
};

/** Permission to run one request on one backend server. */
export type Grant = {
	grantId: GrantId;
	requestId: RequestId;
	pool: PoolId;
	organisation: OrganisationId;
	entry: Incarnation;
	backendServer: BackendServerId;
	/** Base URL of the backend server. */
	url: string;
	tokens: number;
	/** Expected time for which the request holds its memory. */
	expectedHold: number;
	/** Priority at the engine; the smallest is served first. */
	priority: number;
	term: number;
	/** The entry node must send the request within this time, counted from before it requested the grant. */
	usableFor: number;
};

/** Heartbeat of an entry node to a dispatcher: every two seconds while it holds grants, and soon after a release. */
export type Heartbeat = {
	pool: PoolId;
	entry: Incarnation;
	/** Base URL of the entry node's listener for other nodes. */
	entryUrl: string;
	released: GrantId[];
	/** Number of grants the entry node still holds. */
	activeCount: number;
};

/** Memory that a request holds while it runs, in tokens. */
export function countTokens(request: AdmitRequest): number {
	return request.promptTokens + request.outputTokens;
}
