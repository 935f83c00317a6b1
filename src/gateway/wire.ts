/**
 * What a gateway needs to know of the protocols on both sides; adapters implement it.
 *
 * Nothing here waits or decides: heads are read into typed values and written from them.
 */
import type {Either} from 'purify-ts';
import type {
	AvailabilityZone, BackendServerName, Failure, OrganisationId, RequestId,
} from '../common/index.js';

/** Header fields as Node.js gives and takes them, names in lower case. */
export type HeaderFields = Record<string, string | string[] | undefined>;

/** The head of a caller's request. */
export type CallHead = {
	/** The caller's own id of this attempt. */
	requestId: RequestId;
	method: string;
	/** Path and query as sent. */
	target: string;
	host: string;
	/** Secret key of the caller, when it sent one. */
	key?: string;
	/** How long the caller waits, in milliseconds; undefined when it does not say. */
	timeLeft?: number;
	/** The last event a caller has from an earlier stream. */
	lastEventId?: number;
	/** Tokens of the prompt, and the most of the answer; 0 when it names none. */
	promptTokens: number;
	outputTokens: number;
	/** Fields to pass on: all but those of one connection and those the gateway writes itself. */
	headers: HeaderFields;
};

/** What is sent along with a request to a backend server. */
export type BackendRequestHead = {
	call: CallHead;
	serverName: BackendServerName;
	organisation?: OrganisationId;
	/** Milliseconds after which the answer is no longer wanted. */
	timeLeft: number;
	/** The event after which a stream goes on. */
	lastEventId?: number;
	/** Servers that read parts of the prompt, with the reservations of memory there. */
	helpers: HelperAddress[];
	/** 0 is the most urgent, 9 the least. */
	urgency?: number;
};

/** A server that helps to read: its address, and the name of the memory reserved there. */
export type HelperAddress = {address: string; reservation?: string};

/** The head of a backend server's answer. */
export type ResponseHead = {
	status: number;
	/** Id of the request that the answer belongs to; undefined when it does not say. */
	requestId?: RequestId;
	/** Whether it bears the mark that every true answer of a backend server has. */
	isSigned: boolean;
	/** Whether the server states that it did not run the request. */
	isDeclined: boolean;
	/** Whether the head says how the body ends; otherwise it ends with the connection, and whether it is whole cannot be told. */
	isFramed: boolean;
	/** Whether the body is encoded, which no true answer is. */
	isEncoded: boolean;
	/** Requests a second that the server takes from all nodes together; undefined when it names no limit. */
	requestLimit?: number;
	/** Address of the helping server at fault, where it is not the server asked. */
	faultyAddress?: string;
	/** Fields to pass on to the caller. */
	headers: HeaderFields;
};

/** An order to set memory aside, renew or free it. */
export type ReservationOrder =
	| {kind: 'reserve'; reservation: string; tokens: number; holdFor: number}
	| {kind: 'release'; reservation: string};

/** A request that carries an order. */
export type OrderMessage = {method: 'POST'; path: string; headers: HeaderFields; body: string};

/** How memory that was set aside is used; undefined when there is none, or it is not known. */
export type ReservationUse = 'used' | 'unused' | undefined;

/** How heads are read and written. */
export abstract class GatewayWire {
	/** Path at which the gateway says whether it is ready. */
	abstract readonly readyPath: string;

	/** Path at which it says which addresses to use. */
	abstract readonly addressPath: string;

	/** Path at which a backend server reports on the memory that is set aside. */
	abstract readonly reportPath: string;

	/** Reads the head of a caller's request. */
	abstract readCallHead(method: string, target: string, headers: HeaderFields): Either<Failure, CallHead>;

	/** Writes the head of a request to a backend server. */
	abstract formatBackendRequest(send: BackendRequestHead): Record<string, string | string[]>;

	/** Reads the head of a backend server's answer. */
	abstract readResponseHead(status: number, headers: HeaderFields): ResponseHead;

	/** Writes an order to a backend server. */
	abstract formatOrder(order: ReservationOrder): OrderMessage;

	/** Reads from such a report how a reservation is used. */
	abstract readReservationUse(report: string, reservation: string): ReservationUse;

	/** Fields of an answer of the gateway's own. */
	abstract formatFailureHeaders(failure: Failure, requestId: RequestId | undefined): HeaderFields;

	/** Availability zone of whoever asks for addresses. */
	abstract readCallerZone(query: Record<string, string | undefined>): AvailabilityZone;

	/** Body of the answer to such a question; `lifetime` in seconds. */
	abstract formatAddresses(addresses: string[], lifetime: number): string;
}
