/** Identifies a request across retries: its caller may send it again under another id, to another node. Pure. */
import type {RequestFingerprint, OrganisationId} from '../../common/index.js';
import {computeDigest} from '../digest.js';
import type {CallHead} from '../wire.js';

/** Digest length in characters: enough to avoid collisions among the millions of requests of a day. */
const digestLength = 16;

/**
 * Hashes a call's method, target, caller and whole body.
 *
 * Header fields are left out: a retry may state its prompt differently, or resume a stream.
 */
export function computeFingerprint({method, host, target}: CallHead, organisation: OrganisationId | undefined, body: Uint8Array | undefined): RequestFingerprint {
	return computeDigest([JSON.stringify([method, host, target, organisation ?? null]), body ?? ''], digestLength) as RequestFingerprint;
}
