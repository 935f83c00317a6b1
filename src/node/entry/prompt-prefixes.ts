/**
 * Hashes the prefixes of a prompt, so that a dispatcher can send requests that share
 * a prefix (such as a system prompt) to the engine that caches it.
 *
 * Prefix lengths double from 1 KiB to 1 MiB, so a request has at most eleven hashes. Each hash is seeded with the one before.
 */
import {Buffer} from 'node:buffer';
import xxhash, {type XXHashAPI} from 'xxhash-wasm';
import type {PromptPrefixes} from '../dispatch/index.js';
import type {CompletionBody, Operation} from './caller-request.js';

/** Length of the shortest hashed prefix, in bytes. */
const minPrefixBytes = 1024;
/** Length of the longest hashed prefix, in bytes. */
const maxPrefixBytes = 1_048_576;
const hashRadix = 36;

/** Hashes prompt prefixes. Created once per process, because the hash function is a WebAssembly module. */
export class PrefixHasher {
	/** Loads the hash function and creates a hasher. */
	static async load(): Promise<PrefixHasher> {
		return new PrefixHasher(await xxhash());
	}

	readonly #api: XXHashAPI;

	constructor(api: XXHashAPI) {
		this.#api = api;
	}

	/** Hashes the prefixes of a completion's prompt; `tokensPerByte` converts prefix lengths to tokens. */
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

/** Returns the start of a prompt as one string of at most `maxPrefixBytes` characters. */
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
