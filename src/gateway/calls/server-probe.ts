/** Finds out whether a backend server has ended, or only a connection to it was cut. */
import {connect} from 'node:net';
import type {BackendServerId, Clock} from '../../common/index.js';
import type {BackendServer} from '../../routing/index.js';

/** Time for a connection, in milliseconds: one that is refused is so within a round trip, and the request waits for it. */
const connectTimeout = 100;

/** How long a finding holds, in milliseconds: all that ran at a server ask at the same moment. */
const resultLifetime = 500;

/** Codes of a connection that nobody takes any more. */
const endedErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH']);

/** What the probe needs. */
export type ServerProbeParts = {
	clock: Clock;
	/** A server that takes new work; undefined for one whose entry is gone. */
	findServer: (id: BackendServerId) => BackendServer | undefined;
	isLive: (id: BackendServerId) => boolean;
};

/** Opens connections to servers that have cut requests, and asks them nothing. */
export class ServerProbe {
	readonly #parts: ServerProbeParts;
	readonly #results = new Map<BackendServerId, {at: number; hasEnded: Promise<boolean>}>();

	constructor(parts: ServerProbeParts) {
		this.#parts = parts;
	}

	/** Whether a server has ended. One that is silent, or leaves as planned, has not as far as is known. */
	async hasEnded(id: BackendServerId): Promise<boolean> {
		const now = this.#parts.clock.readMonotonic();
		for (const [known, {at}] of this.#results) {
			if (now - at > resultLifetime) {
				this.#results.delete(known);
			}
		}

		const result = this.#results.get(id) ?? {at: now, hasEnded: this.#probe(id)};
		this.#results.set(id, result);
		return result.hasEnded;
	}

	async #probe(id: BackendServerId): Promise<boolean> {
		const server = this.#parts.findServer(id);
		if (server === undefined) {
			return !this.#parts.isLive(id);
		}

		return isRefused(server.address, this.#parts.clock);
	}
}

async function isRefused(address: string, clock: Clock): Promise<boolean> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = connect(Number(port), host);
		const finish = (isEnded: boolean) => {
			timer.cancel();
			socket.destroy();
			resolve(isEnded);
		};

		const timer = clock.setTimer(connectTimeout, () => {
			finish(false);
		});
		socket.once('connect', () => {
			finish(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			finish(endedErrorCodes.has(error.code ?? ''));
		});
	});
}
