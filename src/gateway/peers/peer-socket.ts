/** Carries heartbeats and news of plans over UDP. */
import {createSocket, type Socket} from 'node:dgram';
import {
	Child, readErrorMessage, waitFor, type Clock, type Logger,
} from '../../common/index.js';
import {decodeBeat, encodeBeat} from './peer-beat.js';
import {
	decodeNews, encodeNews, isNews, type PlanNews,
} from './plan-news.js';
import {heartbeatEvery, type OutgoingBeat, type Peers} from './peers.js';

/** Least time between a beat and one that is sent early to pass news on, in milliseconds: news that come together go together. */
const earlyBeatAfter = 20;

/** What the socket needs. */
export type PeerSocketParts = {
	clock: Clock;
	logger: Logger;
	peers: Peers;
	host: string;
	port: number;
	onBeat: () => void;
	onNews: (news: PlanNews) => void;
};

/** Sends and takes heartbeats while it runs. */
export class PeerSocket extends Child {
	override readonly name = 'heartbeats';
	readonly #parts: PeerSocketParts;
	#early: AbortController | undefined;
	#hasNews = false;
	#socket: Socket | undefined;

	constructor(parts: PeerSocketParts) {
		super();
		this.#parts = parts;
	}

	/** Sends the next heartbeat early, to pass news on. */
	announce(): void {
		this.#hasNews = true;
		this.#early?.abort();
	}

	/** Sends news to the heartbeat address of a node; without a word whether they arrive. */
	tell(address: string, news: PlanNews): void {
		if (this.#socket !== undefined) {
			sendTo(this.#socket, encodeNews(news), address);
		}
	}

	override async run(signal: AbortSignal): Promise<void> {
		const socket = createSocket('udp4');
		socket.on('message', (message, {address, port}) => {
			this.#take(socket, message, `${address}:${port}`);
		});
		socket.on('error', error => {
			this.#parts.logger.warn({event: 'heartbeat_socket_error', reason: readErrorMessage(error)}, 'the heartbeat socket reported an error');
		});
		await new Promise<void>((resolve, reject) => {
			socket.once('error', reject);
			socket.bind(this.#parts.port, this.#parts.host, resolve);
		});
		this.#socket = socket;
		try {
			while (!signal.aborted) {
				this.#sendBeat(socket);
				this.#parts.onBeat();
				await this.#waitForBeat(signal);
			}

			this.#sendBeat(socket);
		} finally {
			this.#socket = undefined;
			socket.close();
		}
	}

	async #waitForBeat(signal: AbortSignal): Promise<void> {
		const early = new AbortController();
		const wake = () => {
			early.abort();
		};

		signal.addEventListener('abort', wake);
		this.#early = early;
		await waitFor(this.#parts.clock, earlyBeatAfter, signal);
		await waitFor(this.#parts.clock, heartbeatEvery - earlyBeatAfter, early.signal);
		signal.removeEventListener('abort', wake);
	}

	#sendBeat(socket: Socket): void {
		const hasNews = this.#hasNews;
		this.#hasNews = false;
		for (const outgoing of this.#parts.peers.beat(hasNews)) {
			this.#send(socket, outgoing);
		}
	}

	#send(socket: Socket, {beat, addresses}: OutgoingBeat): void {
		const message = encodeBeat(beat);
		for (const address of addresses) {
			sendTo(socket, message, address);
		}
	}

	#take(socket: Socket, message: Uint8Array, address: string): void {
		try {
			if (isNews(message)) {
				this.#parts.onNews(decodeNews(message));
				return;
			}

			for (const answer of this.#parts.peers.accept(decodeBeat(message), address)) {
				this.#send(socket, answer);
			}
		} catch (error) {
			this.#parts.logger.warn({event: 'heartbeat_refused', bytes: message.length, reason: readErrorMessage(error)}, 'a datagram of another node could not be read');
		}
	}
}

function sendTo(socket: Socket, message: Uint8Array, address: string): void {
	const [host, port] = address.split(':');
	// A datagram that cannot be sent is a lost one, and those are expected.
	socket.send(message, Number(port), host, () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}
