/** Reads a body while whoever waits is told that it comes. */
import {Buffer} from 'node:buffer';

/** Reads a body to its end as text; `hear` is called with each part. */
export async function readText(body: AsyncIterable<Uint8Array>, hear: () => void): Promise<string> {
	const parts: Uint8Array[] = [];
	for await (const part of body) {
		hear();
		parts.push(part);
	}

	return Buffer.concat(parts).toString('utf8');
}
