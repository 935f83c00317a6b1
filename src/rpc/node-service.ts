/** What nodes ask of each other. */
import type {
	Failure, Incarnation, OrganisationId, PoolId, RunKey,
} from '../common/index.js';
import type {AdmitRequest, Grant, Heartbeat} from '../node/dispatch/index.js';
import type {AnswerHead, StoredOutcome} from './answers.js';

/** Answer to a ping. */
export type PingAnswer = {
	incarnation: Incarnation;
	isReady: boolean;
};

/** Answer to an admission: exactly one of the two is there. */
export type AdmitAnswer = {grant: Grant} | {failure: Failure};

/** Answer to a heartbeat. */
export type HeartbeatAnswer = {
	/** False when this node is not the pool's dispatcher. */
	isDispatcher: boolean;
};

/** A request with a run key, passed to the node that owns the key. */
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

/** A piece of a keyed request's answer. */
export type AnswerFrame =
	| {kind: 'head'; head: AnswerHead}
	/** Body is base64. */
	| {kind: 'body'; body: string}
	| {kind: 'end'}
	| {kind: 'cut'}
	/** This node does not answer for the key's incarnation. */
	| {kind: 'not_owner'};

/** Outcomes that a stopping node passes on. */
export type OutcomeTransfer = {
	incarnations: Incarnation[];
	outcomes: StoredOutcome[];
};

/** A node as other nodes see it. */
export abstract class NodeService {
	abstract ping(): PingAnswer;
	/** Pings another node on behalf of the asker; a second opinion before a takeover. */
	abstract probe(url: string): Promise<boolean>;
	abstract admit(pool: PoolId, request: AdmitRequest, signal: AbortSignal): Promise<AdmitAnswer>;
	abstract acceptHeartbeat(heartbeat: Heartbeat): HeartbeatAnswer;
	/** Grants of a pool that this node's entry holds. */
	abstract listGrants(pool: PoolId): Grant[];
	/** Whether this node answers for run keys of an incarnation. */
	abstract answersFor(incarnation: Incarnation): boolean;
	abstract runKeyed(request: KeyedRequest, signal: AbortSignal): AsyncIterable<AnswerFrame>;
	abstract inherit(inheritance: OutcomeTransfer): void;
	/** Another node says that it leaves. */
	abstract noteLeaving(incarnation: Incarnation): void;
}
