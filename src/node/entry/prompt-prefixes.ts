/**
 * Hashes the beginnings of a prompt, so that a dispatcher can send requests that
 * share one (a system prompt, a tile template) to where it is cached.
 *
 * Prefixes double in length, from 1 KiB to 1 MiB: eleven hashes at most a
 * request, whatever its length. Each hash is seeded by the one before.
 */
import {Buffer} from 'node:buffer';
import xxhash, {type XXHashAPI} from 'xxhash-wasm';
import type {PromptPrefixes} from '../dispatch/index.js';
import type {CompletionBody, Operation} from './caller-request.js';

const minPrefixBytes = 1024;
const maxPrefixBytes = 1_048_576;
const hashRadix = 36;

/** Hashes prefixes. Made once a process, since its code has to be loaded. */
export class PrefixHasher {
	/** Loads the hash function. */
	static async load(): Promise<PrefixHasher> {
		return new PrefixHasher(await xxhash());
	}

	readonly #api: XXHashAPI;

	constructor(api: XXHashAPI) {
		this.#api = api;
	}

	/** Hashes the prefixes of a completion's prompt; tokens are estimated at a ratio of tokens a byte. */
	hashPrompt(operation: Operation, body: CompletionBody, tokensPerByte: number): PromptPrefixes {
		const bytes = Buffer.from(extractPromptStart(operation, body));
		const hashes: string[] = [];
		let seed = 0n;
		let start = 0;
		for (let end = minPrefixBytes; end <= Math.min(bytes.length, maxPrefixBytes); end *= 2) {
			seed = this.#api.h64Raw(bytes.subarray(start, end), seed);
			hashes.push(seed.toString(hashRadix));
			start = end;
		}

		return {hashes, firstTokens: Math.floor(minPrefixBytes * tokensPerByte)};
	}
}

/** The beginning of a prompt as one text, no longer than the longest prefix needs. */
function extractPromptStart(operation: Operation, body: CompletionBody): string {
	if (operation === 'text') {
		return (typeof body.prompt === 'string' ? body.prompt : JSON.stringify(body.prompt)).slice(0, maxPrefixBytes);
	}

	let text = '';
	for (const message of body.messages as Array<{role?: unknown; content?: unknown}>) {
		const content = typeof message.content === 'string' ? message.content : JSON.stringify(message.content ?? '');
		text += `${String(message.role)}\n${content.slice(0, maxPrefixBytes)}\n`;
		if (text.length >= maxPrefixBytes) {
			break;
		}
	}

	return text.slice(0, maxPrefixBytes);
}
