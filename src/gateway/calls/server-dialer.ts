/** Opens connections to backend servers. */
import {connect} from 'node:net';
import type {buildConnector} from 'undici';
import type {Clock} from '../../common/index.js';

/** Receives a connected socket or the error. */
export type DialCallback = buildConnector.Callback;

/** Time after which TCP probes an idle connection, in milliseconds. */
const tcpKeepAliveDelay = 60_000;

/** Opens connections to backend servers. */
export abstract class ServerDialer {
	/** Connects to `IP:PORT` within `timeout` milliseconds and calls back once. */
	abstract dial(address: string, timeout: number, callback: DialCallback): void;
}

/** Opens TCP connections. Has a timer of its own, since those of undici have a resolution of half a second. */
export class TcpDialer extends ServerDialer {
	readonly #clock: Clock;

	constructor(clock: Clock) {
		super();
		this.#clock = clock;
	}

	override dial(address: string, timeout: number, callback: DialCallback): void {
		const [host, port] = address.split(':');
		const socket = connect({
			host, port: Number(port), noDelay: true, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveDelay,
		});
		const timer = this.#clock.setTimer(timeout, () => {
			socket.destroy(new Error(`no connection to ${address} within ${timeout} ms`));
		});
		const fail = (error: Error) => {
			timer.cancel();
			callback(error, null);
		};

		socket.once('error', fail);
		socket.once('connect', () => {
			timer.cancel();
			socket.off('error', fail);
			callback(null, socket);
		});
	}
}
