/** Short digests, for values that are only compared. Pure. */
import {createHash} from 'node:crypto';

/** Digest of a text, or of several chunks in sequence: `length` characters of six bits each. */
export function computeDigest(content: string | Array<string | Uint8Array>, length: number): string {
	const hash = createHash('sha1');
	for (const chunk of typeof content === 'string' ? [content] : content) {
		hash.update(chunk);
	}

	return hash.digest('base64url').slice(0, length);
}
