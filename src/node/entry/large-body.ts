/**
 * Yields to the event loop between the processing steps of a large body.
 *
 * Decoding, parsing, hashing and writing a prompt of a million tokens takes about ten milliseconds each;
 * without yielding they blocked every stream of the node for 55 ms.
 */
import {Buffer} from 'node:buffer';
import {setImmediate as waitForNextTurn} from 'node:timers/promises';
import {type Either, Left, Right} from 'purify-ts';
import {createFailure, type Failure} from '../../common/index.js';

/** Bodies up to this size in bytes are processed without yielding. */
const yieldThresholdBytes = 262_144;

/** Yields to the event loop if the body is large. */
export async function yieldToEventLoop(bodyLength: number): Promise<void> {
	if (bodyLength > yieldThresholdBytes) {
		await waitForNextTurn();
	}
}

/** Parses a JSON body, yielding to the event loop if it is large. */
export async function parseJsonBody(body: Uint8Array): Promise<Either<Failure, unknown>> {
	const text = Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString();
	await yieldToEventLoop(body.length);
	try {
		const value: unknown = JSON.parse(text);
		await yieldToEventLoop(body.length);
		return Right(value);
	} catch {
		return Left(createFailure('invalid_json', 'the body is not valid JSON'));
	}
}
