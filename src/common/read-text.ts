/** Reads a body while whoever waits is told that it comes. */
import {Buffer} from 'node:buffer';

/** Reads a body to its end as text; `hear` is called with each part. */
export async function readText(body: AsyncIterable<Uint8Array>, onChunk: () => void): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of body) {
		onChunk();
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}
