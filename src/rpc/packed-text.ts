/** Compression of large messages between nodes. */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';

/** JSON text of a value; in the `deflated` form it is compressed and encoded in base64. */
export type PackedText = {form: 'plain' | 'deflated'; text: string};

/** Minimum length for compression in characters; for shorter texts it saves less than one datagram. */
const minCompressedLength = 1500;

/** Compression level of zlib: higher levels take much longer for little gain in size. */
const compressionLevel = 1;

/** Maximum size of a decompressed message in bytes, enough for forty thousand routes. */
const maxUnpackedBytes = 64 * 1024 * 1024;

/** Serialises a value and compresses it when it is large. */
export function formatPacked(value: unknown): PackedText {
	const text = JSON.stringify(value);
	return text.length < minCompressedLength
		? {form: 'plain', text}
		: {form: 'deflated', text: deflateRawSync(text, {level: compressionLevel}).toString('base64')};
}

/** Parses a value that was serialised by `formatPacked` on another node; throws when the text is invalid. */
export function parsePacked<Value>({form, text}: PackedText): Value {
	const plain = form === 'plain' ? text : inflateRawSync(Buffer.from(text, 'base64'), {maxOutputLength: maxUnpackedBytes}).toString();
	return JSON.parse(plain) as Value;
}
