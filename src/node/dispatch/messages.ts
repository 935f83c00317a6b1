/** What entries and dispatchers say to each other. Sizes are in tokens, durations in milliseconds. */
import type {
	BackendServerId, GrantId, Incarnation, OrganisationId, PoolId, RequestId, ServiceName,
} from '../../common/index.js';
import type {PromptPrefixes} from './prefix-index.js';

/** A request that asks for a place to run. */
export type AdmitRequest = {
	requestId: RequestId;
	organisation: OrganisationId;
	service: ServiceName;
	/** The entry that asks; it uses the grant and returns it. */
	entry: Incarnation;
	/** Estimated length of the prompt. */
	promptTokens: number;
	/** Longest output asked for, over all choices. */
	outputTokens: number;
	/** How long the request can wait. */
	patience: number;
	/** Backend servers that have just failed this request. */
	excluded: BackendServerId[];
	prefixes: PromptPrefixes;
};

/** Leave to run one request on one backend server. */
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
	/** How long it is expected to hold its memory. */
	expectedHold: number;
	/** Priority at the engine; the least goes first. */
	priority: number;
	term: number;
	/** The entry must send within this time, counted from before it asked. */
	usableFor: number;
};

/** What an entry says to a dispatcher every two seconds while it holds grants, and soon after a release. */
export type Heartbeat = {
	pool: PoolId;
	entry: Incarnation;
	/** Base URL of the entry's listener for nodes. */
	entryUrl: string;
	released: GrantId[];
	/** Number of grants the entry still holds. */
	activeCount: number;
};

/** Memory a request holds while it runs. */
export function countTokens(request: AdmitRequest): number {
	return request.promptTokens + request.outputTokens;
}
