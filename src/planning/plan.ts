/** What is asked of a planner and what it decides. */
import type {
	AvailabilityZone, BackendServerId, BoxId, RequestFingerprint, OrganisationId, PlanId, RequestId, ServiceName,
} from '../common/index.js';
import type {CrashReport} from './crash-records.js';

/**
 * Share of the silence that a caller bears after which its stream is moved to another server.
 *
 * Sooner, planned reads move the streams of whole servers; later, too little time is left to move them: of 40 replayed
 * days 0.914 of the worth was brought with 0.65, 0.907 with 0.45 and 0.911 with 0.8.
 */
export const moveSilenceShare = 0.65;

/** A request for a place. Times in milliseconds, counted from the moment of asking. */
export type PlanRequest = {
	requestId: RequestId;
	service: ServiceName;
	/** The node that asks; its plans are forgotten when it dies. */
	node: BoxId;
	/** Availability zone of that node: an answer from a server of the same one crosses no border. */
	availabilityZone?: AvailabilityZone;
	organisation?: OrganisationId;
	/** Tokens of the prompt; 0 for plain services. */
	promptTokens: number;
	/** Most tokens of the answer. */
	outputTokens: number;
	/** Time since it was first asked for: it keeps its turn whoever decides. */
	waited: number;
	/** Time left until the answer is worth less; negative when that has passed. */
	objective: number;
	/** Time left until the caller leaves if it has seen nothing. */
	patience: number;
	/** Time left until the answer must have ended. */
	timeLeft: number;
	/** Longest pause between events that the caller accepts; undefined when it is not a stream. */
	longestPause?: number;
	/** Longest silence between two events that others' reads may make: streams that can be moved are moved after it. Undefined when it is not a stream. */
	longestSilence?: number;
	/** Name of its route: callers of one route wait alike. */
	route?: string;
	/** How long its caller said that it waits from its call on; less than others of its route when it has called before. */
	callerWaits?: number;
	/** Whether a server has begun to answer it: refused now, it would be broken off. */
	hasBegun?: boolean;
	/** Whether its caller has tried before and been turned away or cut off; found out by the planner. */
	hasTried?: boolean;
	/** Identifies the request across retries of its caller. */
	fingerprint?: RequestFingerprint;
	/** Crashes under it, as the asking node knows them, and in a plan as the planner does. */
	crashes?: CrashReport[];
	/** Servers that must not be chosen. */
	excluded: BackendServerId[];
	/** Those among them that answered it with a failure: they may be asked again when there is no other. */
	failedAt?: BackendServerId[];
};

/** A request for one more try of a request that was sent before. */
export type RetryRequest = {
	requestId: RequestId;
	service: ServiceName;
	/** The node that asks. */
	node: BoxId;
	/** Tokens of the prompt; 0 for plain services. */
	promptTokens: number;
};

/** Whether a request asks for the first time: neither while it waits nor for another try. */
export function isFirstAttempt({waited, excluded}: PlanRequest): boolean {
	return waited === 0 && excluded.length === 0;
}

/** A server that reads a part of a prompt for another one. */
export type PlannedHelper = {
	server: BackendServerId;
	/** Tokens of memory to set aside there for the prompt; 0 when the first server holds it all. */
	heldTokens: number;
};

/** A decision: where a request runs and when it is sent. */
export type Plan = {
	planId: PlanId;
	request: PlanRequest;
	server: BackendServerId;
	helpers: PlannedHelper[];
	/** Time to wait before sending, in milliseconds. */
	startIn: number;
	/** Predicted time from asking to the first event, or to the answer, in milliseconds. */
	expectedFirst: number;
	/** Tokens the first server holds. */
	ownTokens: number;
	/** The silence that its reading makes for those who write at its servers; undefined when nobody does. */
	pause?: PlannedPause;
};

/** A silence that a read makes, and the shortest after which a stream there is moved elsewhere, in milliseconds. */
export type PlannedPause = {length: number; bearable: number};

/** What a planner answers: a plan, or when to ask again because others read first. */
export type Decision = {kind: 'plan'; plan: Plan} | {kind: 'wait'; askAgainIn: number; reason: WaitReason};

/** Why a long prompt waits: its servers still read or others read first, writers would pause too long, its memory has no room, its node doesn't see the fleet yet, a server is emptied that it is to have for itself, or all servers have reached the limits that they named. */
export type WaitReason = 'reading' | 'writers' | 'memory' | 'sight' | 'trial' | 'limit';

/** How a plan went on, told by the node that carries it out. */
export type PlanEvent =
	| {planId: PlanId; kind: 'started'}
	/** `wasAnswered` when its server gave an answer to the end, and lives; `isUnanswered` when it was sent and stopped or broken off: its server may have crashed. */
	| {planId: PlanId; kind: 'ended'; wasAnswered?: boolean; isUnanswered?: boolean}
	| {planId: PlanId; kind: 'failed'; server: BackendServerId; trouble: Trouble}
	/** The server crashed while it ran the plan. */
	| {planId: PlanId; kind: 'server_ended'; server: BackendServerId; fingerprint: RequestFingerprint}
	/** A server has answered a request that had crash records. */
	| {planId: PlanId; kind: 'survived'; fingerprint: RequestFingerprint};

/** A read that took longer than was planned with, times in milliseconds; `overrun` is the share by which it was allowed to. */
export type OverrunReport = {plan: Plan; predicted: number; took: number; allowedOverrun: number};

/** What went wrong with a server, as its callers see it: full, not reached, silent, or a failed answer. */
export type Trouble = 'full' | 'unreached' | 'silent' | 'spoiled';
