/** What a call asks, as a digest: its caller may send it again under another id, at another node. Pure. */
import type {ContentDigest} from '../../common/index.js';
import {computeDigest} from '../digest.js';
import type {CallHead} from '../wire.js';

/** Letters of a digest: enough that no two of the millions of a day are alike by chance. */
const digestLength = 16;

/** Bytes at either end of a body that count; of a longer one its length does besides. */
const countedBytes = 32 * 1024;

/** Computes the digest of a call's method, target, prompt and body. */
export function computeContent({method, host, target, prompt}: CallHead, body: Uint8Array | undefined): ContentDigest {
	const head = JSON.stringify([method, host, target, prompt, body?.length ?? 0]);
	const ends = body === undefined || body.length <= countedBytes * 2 ? [body ?? ''] : [body.subarray(0, countedBytes), body.subarray(-countedBytes)];
	return computeDigest([head, ...ends], digestLength) as ContentDigest;
}
