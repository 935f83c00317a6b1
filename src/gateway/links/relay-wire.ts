/** HTTP format in which a node has another node forward a request to a backend server. */
import type {BackendServerId} from '../../common/index.js';
import type {BackendRequest, ConnectionUse} from '../calls/index.js';
import type {HeaderFields} from '../wire.js';

/** Path on the listener for other nodes; the method is that of the forwarded request. */
export const relayPath = '/relay';

const relayFields = {
	server: 'relay-server',
	target: 'relay-target',
	/** Whether the forwarding node may use a kept connection. */
	connection: 'relay-connection',
	/** `control` for orders and reports, which leaving servers take too. */
	purpose: 'relay-purpose',
	outcome: 'relay-outcome',
	/** `close` when the server's answer ends with its connection, so that its end proves nothing. */
	framing: 'relay-framing',
} as const;

const ownFields = new Set<string>([...Object.values(relayFields), 'connection', 'keep-alive', 'transfer-encoding']);

/**
 * Outcome of a relayed request: the server's answer follows; nothing was sent because the forwarding node reaches no server (`cut`), does not
 * reach this one (`unreachable`) or does not take the request (`declined`); or it was sent and has no answer (`lost`).
 */
export type RelayOutcome = 'answered' | 'cut' | 'unreachable' | 'declined' | 'lost';

/** Why a request was not forwarded; `unconnected` when the forwarding node was not reached. */
export type UnsentOutcome = Exclude<RelayOutcome, 'answered' | 'lost'> | 'unconnected';

const outcomes = new Set<string>(['answered', 'cut', 'unreachable', 'declined', 'lost'] satisfies RelayOutcome[]);

/** Whether requests start work on the server (`request`), or read and change its memory reservations (`control`). */
export type RelayPurpose = 'request' | 'control';

/** A request to forward, as the forwarding node reads it. */
export type RelayedRequest = {server: BackendServerId; purpose: RelayPurpose; use: ConnectionUse; request: BackendRequest};

/** Formats a request for the node that forwards it. */
export function formatRelayRequest(request: BackendRequest & {server: BackendServerId}, purpose: RelayPurpose, use: ConnectionUse): BackendRequest {
	return {
		...request,
		path: relayPath,
		headers: {
			...request.headers,
			[relayFields.server]: encodeURIComponent(request.server),
			[relayFields.target]: request.path,
			[relayFields.connection]: use,
			[relayFields.purpose]: purpose,
		},
	};
}

/** Reads a request to forward; undefined when it is malformed. */
export function readRelayRequest(method: string, headers: HeaderFields, body: Uint8Array | undefined): RelayedRequest | undefined {
	const {[relayFields.server]: server, [relayFields.target]: path, [relayFields.connection]: use, [relayFields.purpose]: purpose} = headers;
	if (typeof server !== 'string' || typeof path !== 'string' || !path.startsWith('/')) {
		return undefined;
	}

	return {
		server: decodeURIComponent(server) as BackendServerId,
		purpose: purpose === 'control' ? 'control' : 'request',
		use: use === 'kept' ? 'kept' : 'fresh',
		request: {
			method, path, headers: dropFields(headers, name => ownFields.has(name) || name === 'content-length'), body,
		},
	};
}

/** Formats the head of a relayed answer. `isFramed` says whether the server's head states how its body ends. */
export function formatRelayAnswer(headers: HeaderFields, isFramed: boolean): Record<string, string | string[]> {
	return {
		...dropFields(headers, name => ownFields.has(name)),
		[relayFields.outcome]: 'answered' satisfies RelayOutcome,
		...(!isFramed && {[relayFields.framing]: 'close'}),
	};
}

/** Formats the head of an answer without the server's. */
export function formatRelayFailure(outcome: RelayOutcome, length: number): Record<string, string> {
	return {[relayFields.outcome]: outcome, 'content-type': 'text/plain', 'content-length': String(length)};
}

/** Reads the outcome of a relayed request; an answer without one is not from a node that relays. */
export function readRelayOutcome(headers: HeaderFields): RelayOutcome {
	const outcome = headers[relayFields.outcome];
	return typeof outcome === 'string' && outcomes.has(outcome) ? outcome as RelayOutcome : 'declined';
}

/** Restores the head of the server's answer. */
export function restoreAnswerHead(headers: HeaderFields): HeaderFields {
	const isFramed = headers[relayFields.framing] === undefined;
	const framing = isFramed && headers['transfer-encoding'] !== undefined ? {'transfer-encoding': headers['transfer-encoding']} : {};
	return {...dropFields(headers, name => ownFields.has(name)), ...framing};
}

function dropFields(headers: HeaderFields, isDropped: (name: string) => boolean): Record<string, string | string[]> {
	return Object.fromEntries(Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !isDropped(entry[0])));
}
