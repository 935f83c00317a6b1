/**
 * Interface to the wire formats on both sides of a gateway; adapters implement it.
 *
 * Implementations only convert between message heads and typed values; they do no I/O and make no decisions.
 */
import type {Either} from 'purify-ts';
import type {
	AvailabilityZone, BackendServerName, Failure, OrganisationId, PromptPartId, RequestId,
} from '../common/index.js';

/** Header fields as Node.js gives and takes them, names in lower case. */
export type HeaderFields = Record<string, string | string[] | undefined>;

/** The head of a caller's request. */
export type CallHead = {
	/** The caller's id of this attempt. */
	requestId: RequestId;
	method: string;
	/** Path and query as sent. */
	target: string;
	host: string;
	/** Secret key of the caller, when it sent one. */
	key?: string;
	/** Time for which the caller waits, in milliseconds; undefined when it states none. */
	timeLeft?: number;
	/** Id of the last event received by the caller from an earlier stream. */
	lastEventId?: number;
	/** Tokens of the prompt, and maximum tokens of the answer; 0 when unstated. */
	promptTokens: number;
	outputTokens: number;
	/** Parts of the prompt that other requests may share, in order; empty when unstated. */
	sharedParts: PromptPartId[];
	/** Header fields to forward: all except hop-by-hop fields and those that the gateway sets. */
	headers: HeaderFields;
};

/** The head of a request to a backend server. */
export type BackendRequestHead = {
	call: CallHead;
	serverName: BackendServerName;
	organisation?: OrganisationId;
	/** Time after which the answer is no longer needed, in milliseconds. */
	timeLeft: number;
	/** Id of the event after which a stream resumes. */
	lastEventId?: number;
	/** Servers that process parts of the prompt, with their memory reservations. */
	helpers: HelperAddress[];
	/** 0 is the most urgent, 9 the least. */
	urgency?: number;
};

/** Address of a server that processes part of a prompt, and the name of its memory reservation. */
export type HelperAddress = {address: string; reservation?: string};

/** The head of a backend server's answer. */
export type ResponseHead = {
	status: number;
	/** Id of the request that the answer belongs to; undefined when it states none. */
	requestId?: RequestId;
	/** Whether it carries the seal that marks genuine answers of backend servers. */
	isSigned: boolean;
	/** Whether the server states that it did not run the request. */
	isDeclined: boolean;
	/** Whether the head frames the body; otherwise the body ends with the connection, and truncation cannot be detected. */
	isFramed: boolean;
	/** Length of the body in bytes, when the head states one. */
	bodyLength?: number;
	/** Whether the body has a content encoding, which genuine answers never have. */
	isEncoded: boolean;
	/** Rate limit of the server for all nodes together, in requests per second; undefined when it states none. */
	requestLimit?: number;
	/** Time for which the server is still cold, in milliseconds; undefined when it states none. */
	coldFor?: number;
	/** Time for which the server, which turned the request away, wants no requests from this node, in milliseconds; undefined when it states none. */
	rest?: number;
	/** Whether the server states that it is leaving: it takes no new requests and ends soon. */
	isLeaving: boolean;
	/** Address of the helper at fault, when the failure is not the answering server's own. */
	faultyAddress?: string;
	/** Header fields to forward to the caller. */
	headers: HeaderFields;
};

/** A command to reserve memory on a backend server, to renew a reservation or to release it. */
export type ReservationOrder =
	| {kind: 'reserve'; reservation: string; tokens: number; holdFor: number}
	| {kind: 'release'; reservation: string};

/** The HTTP request of a reservation command. */
export type OrderMessage = {method: 'POST'; path: string; headers: HeaderFields; body: string};

/** Whether reserved memory is in use; undefined when there is no such reservation or it is unknown. */
export type ReservationUse = 'used' | 'unused' | undefined;

/** Reads and writes the message heads of one platform. */
export abstract class GatewayWire {
	/** Path of the gateway's readiness check. */
	abstract readonly readyPath: string;

	/** Path at which callers resolve the addresses of gateway nodes. */
	abstract readonly addressPath: string;

	/** Path at which a backend server reports its memory reservations. */
	abstract readonly reportPath: string;

	/** Reads the head of a caller's request. */
	abstract readCallHead(method: string, target: string, headers: HeaderFields): Either<Failure, CallHead>;

	/** Writes the head of a request to a backend server. */
	abstract formatBackendRequest(send: BackendRequestHead): Record<string, string | string[]>;

	/** Reads the head of a backend server's answer. */
	abstract readResponseHead(status: number, headers: HeaderFields): ResponseHead;

	/** Writes a reservation command for a backend server. */
	abstract formatOrder(order: ReservationOrder): OrderMessage;

	/** Reads the use of a reservation from the report of a backend server. */
	abstract readReservationUse(report: string, reservation: string): ReservationUse;

	/** Header fields of an error response of the gateway itself. */
	abstract formatFailureHeaders(failure: Failure, requestId: RequestId | undefined): HeaderFields;

	/** Availability zone of a caller that resolves addresses. */
	abstract readCallerZone(query: Record<string, string | undefined>): AvailabilityZone;

	/** Body of the address answer; `lifetime` in seconds. */
	abstract formatAddresses(addresses: string[], lifetime: number): string;
}
