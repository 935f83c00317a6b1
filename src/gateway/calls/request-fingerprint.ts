/** Identifies requests across retries, and the parts that they share with others. Pure. */
import type {
	OrganisationId, PromptPartId, PromptPartTrait, RequestFingerprint,
} from '../../common/index.js';
import {formatPartTrait} from '../../planning/index.js';
import {computeDigest} from '../digest.js';
import type {CallHead} from '../wire.js';

/** Digest length in characters: enough to avoid collisions among the millions of requests of a day. */
const digestLength = 16;

/** Digest lengths of a prompt part and of its organisation, in characters: they are sent for each part of a prompt. */
const partDigestLength = 10;
const organisationDigestLength = 6;

/**
 * Hashes a call's method, target, caller and whole body.
 * Its caller may send it again under another id, to another node. Header fields are left out: a retry may state its prompt differently, or
 * resume a stream.
 */
export function computeFingerprint({method, host, target}: CallHead, organisation: OrganisationId | undefined, body: Uint8Array | undefined): RequestFingerprint {
	return computeDigest([JSON.stringify([method, host, target, organisation ?? null]), body ?? ''], digestLength) as RequestFingerprint;
}

/** Hashes the shared parts of a prompt; a part that is stated twice counts once. */
export function computePartTraits(parts: PromptPartId[], organisation: OrganisationId | undefined): PromptPartTrait[] {
	if (parts.length === 0) {
		return [];
	}

	const organisationDigest = computeDigest(organisation ?? '', organisationDigestLength);
	return [...new Set(parts)].map(part => formatPartTrait(computeDigest(part, partDigestLength), organisationDigest));
}
