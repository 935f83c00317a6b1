/** Carries heartbeats over UDP. */
import {Buffer} from 'node:buffer';
import {createSocket, type Socket} from 'node:dgram';
import * as z from 'zod';
import {
	Child, readErrorMessage, waitFor, type Clock, type Logger,
} from '../common/index.js';
import {heartbeatEvery, type PeerBeat, type Peers} from './peers.js';

const peerSchema = z.object({
	name: z.string(),
	life: z.string(),
	sequence: z.number(),
	availabilityZone: z.string(),
	callerAddress: z.string(),
	peerAddress: z.string(),
	beatAddress: z.string(),
	isReady: z.boolean(),
	configVersion: z.number(),
	serversDigest: z.string(),
	isSourceReachable: z.boolean(),
});

const beatSchema = z.object({
	from: peerSchema,
	others: z.array(z.object({peer: peerSchema, age: z.number().min(0)})),
});

/** Sends and takes heartbeats while it runs. */
export class PeerSocket extends Child {
	override readonly name = 'heartbeats';
	readonly #parts: {clock: Clock; logger: Logger; peers: Peers; host: string; port: number; onBeat: () => void};

	constructor(parts: {clock: Clock; logger: Logger; peers: Peers; host: string; port: number; onBeat: () => void}) {
		super();
		this.#parts = parts;
	}

	override async run(signal: AbortSignal): Promise<void> {
		const socket = createSocket('udp4');
		socket.on('message', message => {
			this.#take(message);
		});
		socket.on('error', error => {
			this.#parts.logger.warn({event: 'heartbeat_socket_error', reason: readErrorMessage(error)}, 'the heartbeat socket reported an error');
		});
		await new Promise<void>((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(this.#parts.port, this.#parts.host, resolve);
		});
		try {
			while (!signal.aborted) {
				this.#send(socket);
				this.#parts.onBeat();
				await waitFor(this.#parts.clock, heartbeatEvery, signal);
			}
		} finally {
			this.#send(socket);
			socket.close();
		}
	}

	#send(socket: Socket): void {
		const {beat, addresses} = this.#parts.peers.beat();
		const message = Buffer.from(JSON.stringify(beat));
		for (const address of addresses) {
			const [host, port] = address.split(':');
			// A datagram that cannot be sent is a lost heartbeat, and those are expected.
			socket.send(message, Number(port), host, () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		}
	}

	#take(message: Uint8Array): void {
		try {
			this.#parts.peers.accept(beatSchema.parse(JSON.parse(Buffer.from(message).toString())) as PeerBeat);
		} catch (error) {
			this.#parts.logger.warn({event: 'heartbeat_refused', bytes: message.length, reason: readErrorMessage(error)}, 'a heartbeat could not be read');
		}
	}
}
