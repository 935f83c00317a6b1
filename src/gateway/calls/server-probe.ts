/** Determines whether a backend server has ended, or only a connection to it was lost. */
import type {BackendServerId, Clock} from '../../common/index.js';
import type {BackendServer} from '../../routing/index.js';
import {TcpDialer, type ServerDialer} from './server-dialer.js';

/** Connect timeout, in milliseconds: a refusal takes one round trip, and the request waits for the result. */
const connectTimeout = 100;

/** How long a result is cached, in milliseconds: all requests that ran on a server probe it at the same moment. */
const resultLifetime = 500;

/** Connection errors which show that the process or its host has ended. */
const endedErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH']);

/** Dependencies of the probe. */
export type ServerProbeParts = {
	clock: Clock;
	/** Finds a server that accepts new requests; undefined when its entry is gone. */
	findServer: (id: BackendServerId) => BackendServer | undefined;
	isLive: (id: BackendServerId) => boolean;
	dialer?: ServerDialer;
	/** Whether this node does not reach a server over its own link; by default it does. */
	isCut?: (id: BackendServerId) => boolean;
	/** Whether a server that refuses connections of this node is itself at fault; by default it is. */
	verifyFault?: (id: BackendServerId) => Promise<boolean>;
};

/** Probes servers that broke off requests: opens a connection and sends nothing. */
export class ServerProbe {
	readonly #parts: ServerProbeParts;
	readonly #results = new Map<BackendServerId, {at: number; hasEnded: Promise<boolean>}>();

	constructor(parts: ServerProbeParts) {
		this.#parts = parts;
	}

	/** Whether a server has ended. A silent or draining one counts as alive. */
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

		const {
			clock, isCut, verifyFault = async () => true, dialer = new TcpDialer(clock),
		} = this.#parts;
		// Another node forwarded the request, and only other nodes can tell whether the server has ended.
		return (isCut?.(id) === true || await isRefused(server.address, dialer)) && verifyFault(id);
	}
}

async function isRefused(address: string, dialer: ServerDialer): Promise<boolean> {
	return new Promise(resolve => {
		dialer.dial(address, connectTimeout, (error, socket) => {
			socket?.destroy();
			resolve(error !== null && endedErrorCodes.has((error as NodeJS.ErrnoException).code ?? ''));
		});
	});
}
