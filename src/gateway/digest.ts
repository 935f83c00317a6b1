/** Short digests: names for things that are only compared. Pure. */
import {createHash} from 'node:crypto';

/** So many letters, of six bits each, that depend on all of a text, or of several pieces one after the other. */
export function computeDigest(content: string | Array<string | Uint8Array>, length: number): string {
	const hash = createHash('sha1');
	for (const chunk of typeof content === 'string' ? [content] : content) {
		hash.update(chunk);
	}

	return hash.digest('base64url').slice(0, length);
}
