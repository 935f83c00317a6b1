/** Answers and outcomes as nodes pass them to each other. */
import type {OrganisationId, RunKey} from '../common/index.js';

/** The beginning of an answer. */
export type AnswerHead = {
	status: number;
	headers: Record<string, string>;
};

/** A recorded answer in a form that can be passed to another node. */
export type StoredAnswer = {
	head: AnswerHead;
	/** Base64; absent when only the fact was kept. */
	body?: string;
	wasCut: boolean;
};

/** An outcome in a form that can be passed to a successor. */
export type StoredOutcome = {
	organisation: OrganisationId;
	runKey: RunKey;
	fingerprint: string;
	/** Milliseconds for which the key can still be used. */
	usableFor: number;
	answer: StoredAnswer;
};
