/** Requests to a planner and its decisions. */
import type {
	AvailabilityZone, BackendServerId, BoxId, RequestFingerprint, OrganisationId, PlanId, PromptPartTrait, RequestId, ServiceName,
} from '../common/index.js';
import type {CrashReport} from './crashes/index.js';
import type {RestingServer} from './resting-servers.js';

/**
 * Share of the silence that a caller tolerates after which its stream is moved to another server.
 *
 * A lower share moves the streams of whole servers during planned prefills; a higher one leaves too little time to move them.
 */
export const moveSilenceShare = 0.65;

/** A request to be placed. Times in milliseconds, counted from this call to the planner. */
export type PlanRequest = {
	requestId: RequestId;
	service: ServiceName;
	/** The node that sends the request; its plans are dropped when it fails. */
	node: BoxId;
	/** Availability zone of that node: an answer from a server of the same zone causes no traffic between zones. */
	availabilityZone?: AvailabilityZone;
	organisation?: OrganisationId;
	/** Priority of its organisation or route; 0 is the most urgent, and taken where it is undefined. */
	priority?: number;
	/** Tokens of the prompt; 0 for plain services. */
	promptTokens: number;
	/** Maximum tokens of the answer. */
	outputTokens: number;
	/** Time since the first ask: the request keeps its queue position when another node decides. */
	waited: number;
	/** Time left until the answer counts as late; negative after that. */
	objective: number;
	/** Time left until the caller leaves if it has received nothing. */
	patience: number;
	/** Time left until the answer must have ended. */
	timeLeft: number;
	/** Longest pause between events that the caller accepts; undefined when it is not a stream. */
	longestPause?: number;
	/** Longest silence between two events that the prefill of other prompts may cause: streams that can be moved are moved after it. Undefined when it is not a stream. */
	longestSilence?: number;
	/** Name of its route: callers of one route share a total wait time. */
	route?: string;
	/** How long its caller declares to wait, counted from its call; lower than for other callers of its route when it is a retry. */
	callerWaits?: number;
	/** Whether a server has started to answer it: rejecting it now would abort the answer. */
	hasBegun?: boolean;
	/** Whether its caller has tried before and was rejected or cut off; set by the planner. */
	hasTried?: boolean;
	/** Identifies the request across retries of its caller. */
	fingerprint?: RequestFingerprint;
	/** Parts of its prompt that other requests may share; undefined from nodes that do not state them. */
	parts?: PromptPartTrait[];
	/** Crashes of servers that ran it: as known to the requesting node, and in a plan as known to the planner. */
	crashes?: CrashReport[];
	/** Whether it may run once more after a failure; undefined from nodes that do not state it. */
	canRepeat?: boolean;
	/** Servers that must not be chosen. */
	excluded: BackendServerId[];
	/** Excluded servers that answered it with a failure: they may be used again if there is no other. */
	failedAt?: BackendServerId[];
	/** Servers that have said in answers that they are leaving, as known to the requesting node. */
	leaving?: BackendServerId[];
	/** Time for which the requesting node has selected the node that it asks as scheduling node, in milliseconds; absent where no servers are cold after a start. */
	selectedFor?: number;
	/** Servers that have asked the requesting node for rest: it must not send them the request before its end. */
	resting?: RestingServer[];
};

/** A request for one more attempt of a request that was sent before. */
export type RetryRequest = {
	requestId: RequestId;
	service: ServiceName;
	/** The node that sends the request. */
	node: BoxId;
	/** Tokens of the prompt; 0 for plain services. */
	promptTokens: number;
};

/** Whether this is the first decision for the request: neither a repeated one while it waits nor one for another attempt. */
export function isFirstAttempt({waited, excluded}: PlanRequest): boolean {
	return waited === 0 && excluded.length === 0;
}

/** A server that prefills a part of a prompt for another server. */
export type PlannedHelper = {
	server: BackendServerId;
	/** Tokens of memory to reserve there for the prompt; 0 when the first server holds all of it. */
	heldTokens: number;
};

/** A plan: where a request runs and when it is sent. */
export type Plan = {
	planId: PlanId;
	request: PlanRequest;
	server: BackendServerId;
	helpers: PlannedHelper[];
	/** Time to wait before sending, in milliseconds. */
	startIn: number;
	/** Predicted time from the decision to the first event, or to the answer, in milliseconds. */
	expectedFirst: number;
	/** Tokens in the memory of the first server. */
	ownTokens: number;
	/** Servers that were avoided since their answers fail more often than those of others, at most a few of them; undefined when there were none. */
	avoided?: BackendServerId[];
	/** The pause that its prefill causes for requests decoding at its servers; undefined when there are none. */
	pause?: PlannedPause;
};

/** A pause that a prefill causes, and the shortest pause after which a stream there is moved elsewhere, in milliseconds. */
export type PlannedPause = {length: number; bearable: number};

/** A planner's decision: a plan, or a wait after which to ask again. */
export type Decision = {kind: 'plan'; plan: Plan} | {kind: 'wait'; askAgainIn: number; reason: WaitReason};

/** Why a request waits: its servers are busy with other prefills (`reading`), decoding requests would be paused too long (`writers`), too little memory, the node sees too little of the fleet yet (`sight`), its isolated server is being drained (`trial`), all servers have reached their declared limits (`limit`) or have asked for rest (`rest`), warm servers are full and cold ones have taken what they may (`cold`), or room is scarce and others go first (`share`). */
export type WaitReason = 'reading' | 'writers' | 'memory' | 'sight' | 'trial' | 'limit' | 'rest' | 'cold' | 'share';

/** Progress of a plan, reported by the node that runs it. */
export type PlanEvent =
	| {planId: PlanId; kind: 'started'}
	/** `wasAnswered` when its server completed an answer that is no error; `isUnanswered` when it was sent and then stopped or broken off: its server may have crashed. */
	| {planId: PlanId; kind: 'ended'; wasAnswered?: boolean; isUnanswered?: boolean}
	| {planId: PlanId; kind: 'failed'; server: BackendServerId; trouble: Trouble}
	/** The server crashed while it ran the plan. */
	| {planId: PlanId; kind: 'server_ended'; server: BackendServerId; fingerprint: RequestFingerprint; parts?: PromptPartTrait[]}
	/** A server answered a request that had crash records; `fingerprint` and `parts` are those that had some. */
	| {planId: PlanId; kind: 'survived'; fingerprint?: RequestFingerprint; parts?: PromptPartTrait[]};

/** A prefill that exceeded its allowed overrun; times in milliseconds, `allowedOverrun` as a share of the prediction. */
export type OverrunReport = {plan: Plan; predicted: number; took: number; allowedOverrun: number};

/** A server that gets no requests for a `backoff` in milliseconds, because of an attempt of a node; the node is undefined when its plan has ended. */
export type BackoffReport = {server: BackendServerId; trouble: Trouble; node: BoxId | undefined; backoff: number};

/** Failure of a server as its callers see it: full, unreachable, silent, or a failed answer (`spoiled`). */
export type Trouble = 'full' | 'unreached' | 'silent' | 'spoiled';
