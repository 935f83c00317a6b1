/** Registers a node in the source, through which nodes without seeds discover each other. */
import {
	createTimeout, readErrorMessage, waitFor, type Clock, type Logger,
} from '../../common/index.js';
import {
	readEra, type FleetSource, type FleetState, type SourceCall,
} from '../../routing/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Peers} from '../peers/peers.js';
import type {ViewExchange} from './view-exchange.js';

/** Time given to discovery through seeds before the source is queried for other nodes, in milliseconds. */
const registerDelay = 1500;

/** Interval between attempts, and between checks whether this node has to register, in milliseconds. */
const registerInterval = 1000;

/** Timeout of an attempt, in milliseconds: doubles with each failure up to a maximum, since a source may be slow. */
const firstTimeout = 1200;
const maxTimeout = 9600;

/** Dependencies of the registration. */
export type RegistrationParts = {
	clock: Clock;
	logger: Logger;
	source: FleetSource;
	state: FleetState;
	peers: Peers;
	views: ViewExchange;
	self: () => Peer;
};

/**
 * Retries until the node is registered and the other nodes are listed, and again when the source has been restored from a copy, which may
 * lack the registration.
 *
 * Only watchers and nodes without live peers register: in a fleet of hundreds a few entries are enough for discovery.
 */
export async function register(parts: RegistrationParts, signal: AbortSignal): Promise<void> {
	const {clock, views, peers, state} = parts;
	let timeout = firstTimeout;
	let registeredEra: number | undefined;
	await waitFor(clock, registerDelay, signal);
	while (!signal.aborted) {
		const era = readEra(state.serversRevision);
		const mayRegister = views.isWatcher || peers.countLive() === 0 || registeredEra !== undefined;
		if (mayRegister && era !== registeredEra) {
			const isDone = await registerWithTimeout(parts, timeout, signal);
			registeredEra = isDone ? era : registeredEra;
			timeout = isDone ? firstTimeout : Math.min(maxTimeout, timeout * 2);
		}

		await waitFor(clock, registerInterval, signal);
	}
}

async function registerWithTimeout(parts: RegistrationParts, timeout: number, signal: AbortSignal): Promise<boolean> {
	const limit = createTimeout(parts.clock, timeout, signal);
	// A retry uses another connection, since the previous one may be broken.
	const call = {signal: limit.signal, isOnNewConnection: timeout > firstTimeout, onData() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
	try {
		return await registerOnce(parts, call);
	} catch (error) {
		logFailure(parts.logger, readErrorMessage(error));
		return false;
	} finally {
		limit.cancel();
	}
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
	logFailure(logger, failure.message);
	return false;
}

function logFailure(logger: Logger, reason: string): void {
	logger.warn({event: 'register_failed', reason}, 'the node could not be registered; retrying');
}
