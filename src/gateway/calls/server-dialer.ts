/** Opens connections to backend servers. */
import {buildConnector} from 'undici';

/** Receives a connected socket or the error. */
export type DialCallback = buildConnector.Callback;

/** Opens connections to backend servers. */
export abstract class ServerDialer {
	/** Connects to `IP:PORT` within `timeout` milliseconds and calls back once. */
	abstract dial(address: string, timeout: number, callback: DialCallback): void;
}

/** Opens TCP connections. */
export class TcpDialer extends ServerDialer {
	override dial(address: string, timeout: number, callback: DialCallback): void {
		const [hostname, port] = address.split(':');
		buildConnector({timeout})({hostname, port, protocol: 'http:'}, callback);
	}
}
