/** Serialised responses that nodes transfer between each other. */
import type {OrganisationId, RunKey} from '../common/index.js';

/** Status and headers of a response. */
export type AnswerHead = {
	status: number;
	headers: Record<string, string>;
};

/** Recorded response in a serialisable form. */
export type StoredAnswer = {
	head: AnswerHead;
	/** Base64; absent when only the completion was recorded, not the body. */
	body?: string;
	wasCut: boolean;
};

/** Outcome of a keyed request in a serialisable form, for transfer to another node. */
export type StoredOutcome = {
	organisation: OrganisationId;
	runKey: RunKey;
	fingerprint: string;
	/** Remaining lifetime of the run key in milliseconds. */
	usableFor: number;
	answer: StoredAnswer;
};
