/** A source of variation for decisions that stays pure: a request gives the same share again. */
import type {PlanRequest} from './plan.js';

/** Offset and prime of the FNV-1a hash, and the multiplier of its final mix. */
const offset = 2_166_136_261;
const prime = 16_777_619;
const mixFactor = 2_246_822_507;

/** Hashes a request and the number of its attempts to a share from 0 to 1. Shares of two attempts are unrelated: otherwise all second tries of one failing server would go to the same other one. */
export function hashAttempt({requestId, excluded}: Pick<PlanRequest, 'requestId' | 'excluded'>): number {
	let hash = offset;
	for (const character of `${requestId} ${excluded.length}`) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ character.codePointAt(0)!, prime);
	}

	/* eslint-disable no-bitwise */
	hash = Math.imul(hash ^ (hash >>> 16), mixFactor);
	return ((hash ^ (hash >>> 13)) >>> 0) / (2 ** 32);
	/* eslint-enable no-bitwise */
}
