/** Stand-in for a client: one TCP connection, HTTP/1.1 requests one after another, and how each answer ended. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';

/** One connection of a client. */
export class Caller {
	#socket;
	#received = Buffer.alloc(0);
	/** How the connection ended: `closed` in order, or `reset`; undefined while it is open. */
	#end;
	#wake = () => {};
	#bytesPerSecond = Infinity;

	constructor(address) {
		const [host, port] = address.split(':');
		this.#socket = connect({host, port: Number(port), noDelay: true});
		this.#socket.on('data', chunk => {
			this.#received = Buffer.concat([this.#received, chunk]);
			this.#wake();
			if (this.#bytesPerSecond !== Infinity) {
				this.#socket.pause();
				setTimeout(() => {
					this.#socket.resume();
				}, chunk.length * 1000 / this.#bytesPerSecond);
			}
		});
		this.#socket.on('end', () => {
			this.#finish('closed');
		});
		this.#socket.on('error', error => {
			this.#finish(error.code === 'ECONNREFUSED' ? 'refused' : 'reset');
		});
		this.#socket.on('close', () => {
			this.#finish('closed');
		});
	}

	/** Reads at most so many bytes a second from now on, as over a link of that bandwidth. */
	limitRate(bytesPerSecond) {
		this.#bytesPerSecond = bytesPerSecond;
	}

	/** Closes the connection. */
	close() {
		this.#socket.destroy();
	}

	/** Sends a request and reads its answer to the end, or to the end of the connection; `onHead` is called with the head. */
	async ask({method = 'GET', path, headers, body = ''}, onHead = () => {}) {
		const head = {...headers, 'content-length': Buffer.byteLength(body)};
		const fields = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		this.#socket.write(`${method} ${path} HTTP/1.1\r\n${fields}\r\n${body}`);
		await this.#waitFor(() => this.#received.includes('\r\n\r\n'));
		const headEnd = this.#received.indexOf('\r\n\r\n');
		if (headEnd === -1) {
			return {
				status: 0, isComplete: false, end: this.#end, body: Buffer.alloc(0),
			};
		}

		const [first, ...lines] = this.#take(headEnd + 4).toString('latin1').trimEnd().split('\r\n');
		const answer = {
			status: Number(first.split(' ')[1]),
			headers: Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()])),
		};
		onHead(answer);
		const read = await this.#readBody(answer.headers);
		return {...answer, ...read, end: this.#end};
	}

	async #readBody(headers) {
		if (headers['transfer-encoding'] === 'chunked') {
			return this.#readChunks();
		}

		if (headers['content-length'] !== undefined) {
			const length = Number(headers['content-length']);
			await this.#waitFor(() => this.#received.length >= length);
			return {framing: 'length', isComplete: this.#received.length >= length, body: this.#take(length)};
		}

		// RFC 9112, section 6.3: without a length, the body ends with the connection; a reset shows that it is not complete.
		await this.#waitFor(() => false);
		return {framing: 'none', isComplete: this.#end === 'closed', body: this.#take(Infinity)};
	}

	async #readChunks() {
		const chunks = [];
		for (;;) {
			await this.#waitFor(() => this.#received.includes('\r\n'));
			const lineEnd = this.#received.indexOf('\r\n');
			const length = lineEnd === -1 ? Number.NaN : Number.parseInt(this.#received.toString('latin1', 0, lineEnd), 16);
			if (Number.isNaN(length)) {
				return {framing: 'chunks', isComplete: false, body: Buffer.concat(chunks)};
			}

			await this.#waitFor(() => this.#received.length >= lineEnd + length + 4);
			if (this.#received.length < lineEnd + length + 4) {
				return {framing: 'chunks', isComplete: false, body: Buffer.concat(chunks)};
			}

			chunks.push(this.#take(lineEnd + length + 4).subarray(lineEnd + 2, -2));
			if (length === 0) {
				return {framing: 'chunks', isComplete: true, body: Buffer.concat(chunks)};
			}
		}
	}

	#take(length) {
		const taken = this.#received.subarray(0, length);
		this.#received = this.#received.subarray(taken.length);
		return taken;
	}

	/** Waits until a condition holds or the connection has ended. */
	async #waitFor(isMet) {
		while (!isMet() && this.#end === undefined) {
			await new Promise(resolve => {
				this.#wake = resolve;
			});
		}
	}

	#finish(end) {
		this.#end ??= end;
		this.#wake();
	}
}
