/**
 * Incarnations: one life of one node process, with the address at which it can be asked.
 *
 * `random.address`; both parts are URL-safe. An address token adds the
 * Unix second at which it was given out, a run key a caller's own UUID.
 */
import {Buffer} from 'node:buffer';
import {type Either, Left, Right} from 'purify-ts';
import {createFailure, type Failure} from './errors.js';
import type {Incarnation, RunKey} from './ids.js';

/** A run key taken apart. */
export type RunKeyParts = {
	incarnation: Incarnation;
	/** Base URL of the owner's listener for nodes. */
	url: string;
	/** Unix second at which the address token was given out, by the clock of the node that did. */
	issuedSecond: number;
	/** The caller's own part. */
	uuid: string;
};

const runKeyPattern = /^(?<random>[a-f\d]{16})\.(?<address>[\w-]+)\.(?<second>[a-z\d]{1,8})\.(?<uuid>[a-f\d]{8}(?:-[a-f\d]{4}){3}-[a-f\d]{12})$/;
const secondRadix = 36;

/** Makes the incarnation of a process from 16 random hexadecimal digits and its address. */
export function createIncarnation(random: string, nodeUrl: string): Incarnation {
	return `${random}.${Buffer.from(nodeUrl).toString('base64url')}` as Incarnation;
}

/** Formats the token that goes out with an address. */
export function formatAddressToken(incarnation: Incarnation, second: number): string {
	return `${incarnation}.${second.toString(secondRadix)}`;
}

/** Reads the address of an incarnation. */
export function readIncarnationUrl(incarnation: Incarnation): string {
	return Buffer.from(incarnation.split('.')[1] ?? '', 'base64url').toString();
}

/** Takes a run key apart. */
export function parseRunKey(runKey: RunKey): Either<Failure, RunKeyParts> {
	const groups = runKeyPattern.exec(runKey)?.groups as {random: string; address: string; second: string; uuid: string} | undefined;
	if (groups === undefined) {
		return Left(createFailure('invalid_run_key', 'write the run key as TOKEN.UUID: the `incarnation` of an entry of /v1/addresses, a dot, and a lower-case UUID of your own'));
	}

	const incarnation = `${groups.random}.${groups.address}` as Incarnation;
	return Right({
		incarnation,
		url: readIncarnationUrl(incarnation),
		issuedSecond: Number.parseInt(groups.second, secondRadix),
		uuid: groups.uuid,
	});
}
