/** A node's entry in the source, by which nodes that were told of nobody find each other. */
import {
	createTimeout, waitFor, type Clock, type Logger,
} from '../../common/index.js';
import type {FleetSource, SourceCall} from '../../routing/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Peers} from '../peers/peers.js';
import type {ViewExchange} from './view-exchange.js';

/** Time for which a node waits to be heard by those that it was told of before it looks others up, in milliseconds. */
const registerDelay = 1500;

/** Pause before registering again after a failure, and between looks at whether this node is to register, in milliseconds. */
const registerInterval = 1000;

/** Time for the answers of a try, in milliseconds: doubled with each one that fails, up to a longest, since a source may be slow. */
const firstTimeout = 1200;
const maxTimeout = 9600;

/** What registering needs. */
export type RegistrationParts = {
	clock: Clock;
	logger: Logger;
	source: FleetSource;
	peers: Peers;
	views: ViewExchange;
	self: () => Peer;
};

/**
 * Registers until it has worked once, and looks the other nodes up.
 *
 * Those that follow the source do, and whoever hears nobody: of a fleet of hundreds a few are enough to be found by.
 */
export async function register(parts: RegistrationParts, signal: AbortSignal): Promise<void> {
	const {clock, views, peers} = parts;
	let timeout = firstTimeout;
	await waitFor(clock, registerDelay, signal);
	while (!signal.aborted) {
		const mayRegister = views.isWatcher || peers.countLive() === 0;
		if (mayRegister) {
			if (await registerWithTimeout(parts, timeout, signal)) {
				return;
			}

			timeout = Math.min(maxTimeout, timeout * 2);
		}

		await waitFor(clock, registerInterval, signal);
	}
}

async function registerWithTimeout(parts: RegistrationParts, timeout: number, signal: AbortSignal): Promise<boolean> {
	const limit = createTimeout(parts.clock, timeout, signal);
	// A try that follows one without an answer takes another connection.
	const call = {signal: limit.signal, isOnNewConnection: timeout > firstTimeout, onData() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
	const isDone = await registerOnce(parts, call);
	limit.cancel();
	return isDone;
}

async function registerOnce({source, self, peers, logger}: RegistrationParts, call: SourceCall): Promise<boolean> {
	const {name, beatAddress} = self();
	const registered = await source.register({name, peerAddress: beatAddress}, call);
	const listed = await source.listNodes(call);
	listed.ifRight(nodes => {
		for (const node of nodes) {
			peers.addCandidate(node.peerAddress);
		}
	});
	if (registered.isRight() && listed.isRight()) {
		return true;
	}

	const failure = [registered, listed].find(result => result.isLeft())?.extract() as {message: string};
	logger.warn({event: 'register_failed', reason: failure.message}, 'the node could not be registered; trying again');
	return false;
}
