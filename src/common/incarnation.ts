/**
 * Incarnation ids identify one run of a node process and contain its address: `random.address`, both URL-safe.
 * An address token appends the Unix second of issue; a run key appends a UUID chosen by the caller.
 */
import {Buffer} from 'node:buffer';
import {type Either, Left, Right} from 'purify-ts';
import {createFailure, type Failure} from './errors.js';
import type {Incarnation, RunKey} from './ids.js';

/** Parsed run key. */
export type RunKeyParts = {
	incarnation: Incarnation;
	/** Base URL of the node-to-node listener of the owning node. */
	url: string;
	/** Unix second at which the address token was issued, by the clock of the issuing node. */
	issuedSecond: number;
	/** UUID chosen by the caller. */
	uuid: string;
};

const runKeyPattern = /^(?<random>[a-f\d]{16})\.(?<address>[\w-]+)\.(?<second>[a-z\d]{1,8})\.(?<uuid>[a-f\d]{8}(?:-[a-f\d]{4}){3}-[a-f\d]{12})$/;
const secondRadix = 36;

/** Creates the incarnation id of a process from 16 random hexadecimal digits and its address. */
export function createIncarnation(random: string, nodeUrl: string): Incarnation {
	return `${random}.${Buffer.from(nodeUrl).toString('base64url')}` as Incarnation;
}

/** Formats the token that callers receive with an address. */
export function formatAddressToken(incarnation: Incarnation, second: number): string {
	return `${incarnation}.${second.toString(secondRadix)}`;
}

/** Decodes the address contained in an incarnation id. */
export function readIncarnationUrl(incarnation: Incarnation): string {
	return Buffer.from(incarnation.split('.')[1] ?? '', 'base64url').toString();
}

/** Parses a run key. */
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
