/** Service interface and message types of the RPC between nodes. */
import type {
	Failure, Incarnation, OrganisationId, PoolId, RunKey,
} from '../common/index.js';
import type {AdmitRequest, Grant, Heartbeat} from '../node/dispatch/index.js';
import type {AnswerHead, StoredOutcome} from './answers.js';

/** Response to a ping. */
export type PingAnswer = {
	incarnation: Incarnation;
	isReady: boolean;
};

/** Response to an admission request. */
export type AdmitAnswer = {grant: Grant} | {failure: Failure};

/** Response to a heartbeat. */
export type HeartbeatAnswer = {
	/** False when the receiving node is not the dispatcher of the pool. */
	isDispatcher: boolean;
};

/** Request with a run key, forwarded to the node that owns the key. */
export type KeyedRequest = {
	organisation: OrganisationId;
	runKey: RunKey;
	/** `chat`, `text` or `plain`. */
	operation: 'chat' | 'text' | 'plain';
	method: string;
	url: string;
	headers: Record<string, string>;
	/** Base64. */
	body: string;
};

/** Frame of the streamed response to a keyed request. */
export type AnswerFrame =
	| {kind: 'head'; head: AnswerHead}
	/** `body` is base64. */
	| {kind: 'body'; body: string}
	| {kind: 'end'}
	| {kind: 'cut'}
	/** The receiving node does not own the run keys of this incarnation. */
	| {kind: 'not_owner'};

/** Outcomes that a stopping node transfers, with the incarnations that it owned. */
export type OutcomeTransfer = {
	incarnations: Incarnation[];
	outcomes: StoredOutcome[];
};

/** RPC interface of a node. */
export abstract class NodeService {
	abstract ping(): PingAnswer;
	/** Pings another node on behalf of the caller, to confirm a failure before a takeover. */
	abstract probe(url: string): Promise<boolean>;
	abstract admit(pool: PoolId, request: AdmitRequest, signal: AbortSignal): Promise<AdmitAnswer>;
	abstract acceptHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer;
	/** Lists the grants of a pool that this node holds. */
	abstract listGrants(pool: PoolId): Grant[];
	/** Whether this node owns the run keys of an incarnation. */
	abstract answersFor(incarnation: Incarnation): boolean;
	abstract runKeyed(request: KeyedRequest, signal: AbortSignal): AsyncIterable<AnswerFrame>;
	abstract inherit(inheritance: OutcomeTransfer): void;
	/** Records that another node is shutting down. */
	abstract noteLeaving(incarnation: Incarnation): void;
}
