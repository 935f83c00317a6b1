/** Sends and receives heartbeats and plan updates over UDP. */
import {createSocket, type Socket, type SocketOptions} from 'node:dgram';
import {lookup} from 'node:dns';
import {isIPv4} from 'node:net';
import {
	Child, isAddress, readErrorMessage, type Clock, type Logger,
} from '../../common/index.js';
import {decodeHeartbeat, encodeHeartbeat} from './heartbeat.js';
import {
	decodePlanUpdate, encodePlanUpdate, isPlanUpdate, type PlanUpdate,
} from './plan-update.js';
import {heartbeatInterval, type OutgoingHeartbeat, type Peers} from './peers.js';

/** Minimum time between a heartbeat and the next early one, in milliseconds: changes within it are sent together. */
const minHeartbeatGap = 20;

/** Dependencies of the socket. */
export type PeerSocketParts = {
	clock: Clock;
	logger: Logger;
	peers: Peers;
	host: string;
	port: number;
	onHeartbeat: () => void;
	onPlanUpdate: (update: PlanUpdate) => void;
};

/** Sends and receives heartbeats while it runs. */
export class PeerSocket extends Child {
	override readonly name = 'heartbeats';
	readonly #parts: PeerSocketParts;
	/** Brings the next heartbeat forward while one is awaited. */
	#bringForward: (() => void) | undefined;
	#hasChanges = false;
	#socket: Socket | undefined;

	constructor(parts: PeerSocketParts) {
		super();
		this.#parts = parts;
	}

	/** Sends the next heartbeat early, to propagate a change. */
	announce(): void {
		if (!this.#hasChanges) {
			this.#hasChanges = true;
			this.#bringForward?.();
		}
	}

	/** Sends a plan update to the heartbeat address of a node; delivery is not confirmed. */
	sendPlanUpdate(address: string, update: PlanUpdate): void {
		if (this.#socket !== undefined) {
			sendDatagram(this.#socket, encodePlanUpdate(update), address);
		}
	}

	override async run(signal: AbortSignal): Promise<void> {
		const socket = createSocket({type: 'udp4', lookup: resolveAddress});
		socket.on('message', (message, {address, port}) => {
			this.#handleDatagram(socket, message, `${address}:${port}`);
		});
		socket.on('error', error => {
			this.#parts.logger.warn({event: 'heartbeat_socket_error', reason: readErrorMessage(error)}, 'the heartbeat socket reported an error');
		});
		await new Promise<void>((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(this.#parts.port, this.#parts.host, resolve);
		});
		this.#socket = socket;
		const endWait = () => {
			this.#bringForward?.();
		};

		signal.addEventListener('abort', endWait);
		try {
			while (!signal.aborted) {
				this.#sendHeartbeats(socket);
				this.#parts.onHeartbeat();
				await this.#waitForNextHeartbeat(signal);
			}

			this.#sendHeartbeats(socket);
		} finally {
			signal.removeEventListener('abort', endWait);
			this.#socket = undefined;
			socket.close();
		}
	}

	/** Waits for the interval, or for the minimum gap once there is a change; signals and a second timer for each interval took longer than the heartbeat itself. */
	async #waitForNextHeartbeat(signal: AbortSignal): Promise<void> {
		const {clock} = this.#parts;
		const sentAt = clock.readMonotonic();
		await new Promise<void>(resolve => {
			let timer = clock.setTimer(heartbeatInterval, resolve);
			this.#bringForward = () => {
				const left = signal.aborted ? 0 : minHeartbeatGap - (clock.readMonotonic() - sentAt);
				timer.cancel();
				timer = clock.setTimer(Math.max(0, left), resolve);
			};

			if (signal.aborted || this.#hasChanges) {
				this.#bringForward();
			}
		});
		this.#bringForward = undefined;
	}

	#sendHeartbeats(socket: Socket): void {
		const hasChanges = this.#hasChanges;
		this.#hasChanges = false;
		for (const outgoing of this.#parts.peers.createHeartbeats(hasChanges)) {
			this.#send(socket, outgoing);
		}
	}

	#send(socket: Socket, {heartbeat, addresses}: OutgoingHeartbeat): void {
		const message = encodeHeartbeat(heartbeat);
		for (const address of addresses) {
			sendDatagram(socket, message, address);
		}
	}

	#handleDatagram(socket: Socket, message: Uint8Array, address: string): void {
		try {
			if (isPlanUpdate(message)) {
				this.#parts.onPlanUpdate(decodePlanUpdate(message));
				return;
			}

			for (const answer of this.#parts.peers.accept(decodeHeartbeat(message), address)) {
				this.#send(socket, answer);
			}
		} catch (error) {
			this.#parts.logger.warn({event: 'heartbeat_refused', bytes: message.length, reason: readErrorMessage(error)}, 'a datagram from another node could not be decoded');
		}
	}
}

/** Skips the system's resolver for IP addresses, for which it would only wait for the next tick, with each datagram. */
const resolveAddress: SocketOptions['lookup'] = (host, options, callback) => {
	if (isIPv4(host)) {
		callback(null, host, 4);
		return;
	}

	lookup(host, options, callback); // eslint-disable-line n/prefer-promises/dns -- sockets take a function with a callback
};

function sendDatagram(socket: Socket, message: Uint8Array, address: string): void {
	if (!isAddress(address)) {
		// A socket throws on an invalid port.
		return;
	}

	const [host, port] = address.split(':');
	// Send errors are ignored: the protocol tolerates lost datagrams.
	socket.send(message, Number(port), host, () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}
