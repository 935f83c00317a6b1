/** API keys and tokens: stored as SHA-256 hashes and compared in constant time. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';

/** Returns the hexadecimal SHA-256 of a secret. */
export function hashSecret(secret: string): string {
	return createHash('sha256').update(secret).digest('hex');
}

/** Compares a presented secret with a stored hash in constant time. */
export function matchesHash(secret: string, hash: string): boolean {
	const presented = createHash('sha256').update(secret).digest();
	const stored = Buffer.from(hash, 'hex');
	return stored.length === presented.length && timingSafeEqual(presented, stored);
}

/** Extracts the token of a `Bearer` authorization header; empty when there is none. */
export function readBearerToken(header: string | undefined): string {
	const match = /^bearer +(?<token>\S+)$/i.exec(header ?? '');
	return match?.groups?.token ?? '';
}
