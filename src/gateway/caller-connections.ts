/**
 * The connections of callers: which of them are idle, and how much work each may cause.
 *
 * What 64 KB hold may be one part of a body, hundreds of requests, or ten thousand chunks and header fields that are each
 * handled on their own. Received bytes are therefore parsed in small pieces, and each turn of the event loop has a budget.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock, Timer} from '../common/index.js';

/** Sizes of the pieces in which received bytes are parsed, in bytes: small ones while a connection's bytes are costly. */
const minPieceSize = 256;
const maxPieceSize = 16_384;

/** Work of a piece, a request, and a byte of a head; the unit is the handling of a chunk of a body. */
const pieceWork = 1;
const requestWork = 150;
const headByteWork = 1 / 8;

/** Work of a piece from which the next one is smaller. */
const maxCheapWork = 8;

/** Chunks and requests per turn from which a connection has no more bytes free of the budget. */
const maxFreeChunks = 32;
const maxFreeRequests = 2;

/** Bytes per turn that a connection may send whatever the others do. */
const freeBytesPerTurn = 2048;

/** Work per turn for all connections together, beyond their free bytes. */
const workPerTurn = 500;

/** Maximum number of unanswered requests on a connection while it is read; they are served one after another. */
const maxOpenRequests = 4;

/** Interval between checks for connections that send bytes without a request, in milliseconds. */
const checkInterval = 1000;

/** Maximum number of bytes that a connection may send without a request, as blank lines, beside its next head. */
const maxUnusedBytes = 131_072;

/** `_paused` is how Node.js's server marks a connection that the readers of bodies must not resume. */
type ParsedSocket = Socket & {_paused?: boolean};

/** Parses bytes of a connection. */
type Parse = (bytes: Uint8Array) => void;

/** State of one connection. */
type Connection = {
	parse: Parse;
	/** Received bytes that have not been parsed. */
	held: Uint8Array[];
	/** Whether bytes are held back now, and whether they were since reading was last resumed. */
	isHolding: boolean;
	wasHeld: boolean;
	pieceSize: number;
	turn: number;
	/** What was parsed in the turn. */
	parsed: {bytes: number; chunks: number; requests: number};
	/** Work of the current piece. */
	work: number;
	isCostly: boolean;
	openRequests: number;
	lastRequest: IncomingMessage | undefined;
	hasServed: boolean;
	/** Bytes received, and the monotonic time in milliseconds, when the connection was opened or its last answer had been sent. */
	receivedBefore: number;
	idleSince: number;
};

/** Connections of one listener. */
export class CallerConnections {
	readonly #clock: Clock;
	readonly #connections = new Map<Socket, Connection>();
	/** Connections with bytes for the next turn, in order. */
	readonly #waiting = new Set<Socket>();
	#server: Server | undefined;
	#turn = 0;
	#workLeft = workPerTurn;
	#isTurnScheduled = false;
	#timer: Timer | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Tracks the connections of a server. */
	observe(server: Server): void {
		this.#server = server;
		server.on('connection', socket => {
			this.#add(socket);
		});
		server.on('request', (request: IncomingMessage, response: ServerResponse) => {
			this.#recordRequest(request, response);
		});
		// Node.js takes a connection for idle once its answer was ended, though a part of it is still to be sent.
		server.closeIdleConnections = () => {
			this.closeIdle();
		};
	}

	/** Whether a request that was received whole has not been answered. */
	owesAnswer(socket: Socket): boolean {
		const {openRequests = 0, lastRequest} = this.#connections.get(socket) ?? {};
		return openRequests > (lastRequest?.complete === false ? 1 : 0);
	}

	/** Records a chunk of a body. */
	recordChunk(socket: Socket): void {
		const connection = this.#connections.get(socket);
		if (connection !== undefined) {
			connection.work++;
			connection.parsed.chunks++;
		}
	}

	/** Closes the connections that have sent nothing since their last answer. */
	closeIdle(): void {
		for (const [socket, {hasServed, held, openRequests, receivedBefore}] of this.#connections) {
			if (hasServed && openRequests === 0 && held.length === 0 && socket.bytesRead === receivedBefore) {
				socket.destroy();
			}
		}
	}

	#add(socket: Socket): void {
		const [parse] = socket.listeners('data') as Parse[];
		const connection: Connection = {
			parse, held: [], isHolding: false, wasHeld: false, pieceSize: minPieceSize, turn: this.#turn, parsed: {bytes: 0, chunks: 0, requests: 0}, work: 0, isCostly: false,
			openRequests: 0, lastRequest: undefined, hasServed: false, receivedBefore: 0, idleSince: this.#clock.readMonotonic(),
		};
		this.#connections.set(socket, connection);
		socket.removeListener('data', parse);
		socket.on('data', (bytes: Uint8Array) => {
			connection.held.push(bytes);
			this.#parseHeld(socket, connection);
		});
		socket.on('resume', () => {
			this.#parseHeld(socket, connection);
		});
		socket.once('close', () => {
			connection.held = [];
			this.#connections.delete(socket);
			this.#waiting.delete(socket);
			if (this.#connections.size === 0) {
				this.#timer?.cancel();
				this.#timer = undefined;
			}
		});
		this.#scheduleCheck();
	}

	#recordRequest(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const connection = this.#connections.get(socket);
		if (connection === undefined) {
			return;
		}

		connection.openRequests++;
		connection.lastRequest = request;
		connection.work += requestWork;
		connection.parsed.requests++;
		response.once('close', () => {
			connection.openRequests--;
			connection.hasServed = true;
			connection.receivedBefore = socket.bytesRead;
			connection.idleSince = this.#clock.readMonotonic();
			if (connection.held.length > 0) {
				this.#waitForTurn(socket);
			}
		});
	}

	/** Parses what is held until the budget of the turn is used up; the rest waits for the next one. */
	#parseHeld(socket: ParsedSocket, connection: Connection): void {
		while (connection.held.length > 0 && !socket.destroyed) {
			if (socket._paused === true && !connection.isHolding) {
				// Paused by Node.js, which resumes it.
				return;
			}

			if (connection.openRequests >= maxOpenRequests) {
				this.#hold(socket, connection);
				return;
			}

			if (!this.#mayParse(connection)) {
				this.#hold(socket, connection);
				this.#waitForTurn(socket);
				return;
			}

			this.#release(socket, connection);
			this.#parsePiece(connection);
		}

		if (connection.wasHeld && !socket.destroyed) {
			connection.wasHeld = false;
			this.#release(socket, connection);
			socket.resume();
		}
	}

	#mayParse(connection: Connection): boolean {
		if (connection.turn !== this.#turn) {
			connection.turn = this.#turn;
			connection.parsed = {bytes: 0, chunks: 0, requests: 0};
		}

		this.#scheduleTurn();
		return isFree(connection) || this.#workLeft > 0;
	}

	#parsePiece(connection: Connection): void {
		const [first] = connection.held;
		const piece = first.subarray(0, connection.pieceSize);
		if (piece.length === first.length) {
			connection.held.shift();
		} else {
			connection.held[0] = first.subarray(piece.length);
		}

		const isHead = connection.openRequests === 0 || connection.lastRequest?.complete !== false;
		connection.work = pieceWork + (isHead ? piece.length * headByteWork : 0);
		connection.parse(piece);
		this.#workLeft -= isFree(connection) ? 0 : connection.work;
		connection.parsed.bytes += piece.length;
		connection.pieceSize = connection.work > maxCheapWork ? minPieceSize : Math.min(maxPieceSize, connection.pieceSize * 2);
		connection.isCostly ||= connection.parsed.chunks > maxFreeChunks || connection.parsed.requests > maxFreeRequests;
	}

	/** Stops reading; `socket.pause()` alone is undone by the next reader of a body. */
	#hold(socket: ParsedSocket, connection: Connection): void {
		connection.isHolding = true;
		connection.wasHeld = true;
		socket._paused = true;
		socket.pause();
	}

	#release(socket: ParsedSocket, connection: Connection): void {
		if (connection.isHolding) {
			connection.isHolding = false;
			socket._paused = false;
		}
	}

	#waitForTurn(socket: Socket): void {
		this.#waiting.add(socket);
		this.#scheduleTurn();
	}

	#scheduleTurn(): void {
		if (this.#isTurnScheduled) {
			return;
		}

		this.#isTurnScheduled = true;
		setImmediate(() => {
			this.#isTurnScheduled = false;
			this.#turn++;
			this.#workLeft = workPerTurn;
			// A connection that is parsed may wait again at once.
			const waiting = [...this.#waiting];
			for (const socket of waiting) {
				this.#parseWaiting(socket);
			}

			if (this.#waiting.size > 0) {
				this.#scheduleTurn();
			}
		});
	}

	/** Parses bytes that have waited for this turn; those for which nothing is left stay first in order. */
	#parseWaiting(socket: Socket): void {
		const connection = this.#connections.get(socket);
		if (connection?.isCostly === true && this.#workLeft <= 0) {
			return;
		}

		this.#waiting.delete(socket);
		if (connection !== undefined) {
			// Waiting for its turn is no silence of the caller.
			socket.setTimeout(socket.timeout ?? 0);
			this.#parseHeld(socket, connection);
		}
	}

	#scheduleCheck(): void {
		this.#timer ??= this.#clock.setTimer(checkInterval, () => {
			this.#timer = undefined;
			this.#closeUnused();
			this.#scheduleCheck();
		});
	}

	/** Closes connections that keep sending bytes which begin no request. */
	#closeUnused(): void {
		const {keepAliveTimeout = 0, headersTimeout = 0} = this.#server ?? {};
		const earliest = this.#clock.readMonotonic() - keepAliveTimeout - headersTimeout - checkInterval;
		for (const [socket, {held, openRequests, receivedBefore, idleSince}] of this.#connections) {
			const received = socket.bytesRead - receivedBefore;
			if (openRequests === 0 && held.length === 0 && received > 0 && (received > maxUnusedBytes || idleSince < earliest)) {
				socket.destroy();
			}
		}
	}
}

/** Whether the next piece of a connection is free of the budget of the turn. */
function isFree({isCostly, parsed}: Connection): boolean {
	return !isCostly && parsed.bytes < freeBytesPerTurn;
}
