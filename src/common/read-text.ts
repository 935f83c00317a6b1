/** Reading of streamed response bodies with progress callbacks. */
import {Buffer} from 'node:buffer';

/** Reads a whole body as UTF-8 text and calls `onChunk` for each chunk received. */
export async function readText(body: AsyncIterable<Uint8Array>, onChunk: () => void): Promise<string> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of body) {
		onChunk();
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}
