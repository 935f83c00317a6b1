/** Short digests: names for things that are only compared. Pure. */
import {createHash} from 'node:crypto';

/** So many letters, of six bits each, that depend on all of a text. */
export function computeDigest(text: string, length: number): string {
	return createHash('sha1').update(text).digest('base64url').slice(0, length);
}
