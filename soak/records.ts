/** What callers, backend servers and the operator saw in a run; times are wall-clock milliseconds of one machine. */

/** How a caller's request ended. */
export type CallRecord = {
	id: string;
	/** What may be done with it a second time: nothing, or anything. */
	kind: 'once' | 'again' | 'stream' | 'version' | 'added';
	node: string;
	sentAt: number;
	endedAt: number;
	/** Status of the answer; 0 when there was none. */
	status: number;
	/** Whether the answer ended as complete. */
	isComplete: boolean;
	/** What is wrong with a complete answer; undefined when it is the whole answer of this request. */
	wrong?: string;
	/** The service that answered a request for the version in force. */
	service?: string;
	/** Version that brought the route and the key of a request. */
	addedBy?: number;
	/** Longest time that the request may take. */
	limit: number;
};

/** A backend server began to work on a request. */
export type RunRecord = {id: string; server: string; service: string; node: string; at: number};

/** The store took a change: `sentAt` is when it was first sent, `at` when it was acknowledged. */
export type ChangeRecord = {at: number; sentAt: number; version?: {number: number; service: string}; leaving?: string};

/** Versions for which a route and a key that a version adds stay. */
export const keptVersions = 6;

/** Something was disturbed; `node` or `server` when it was only that one. */
export type FaultRecord = {
	kind: string;
	from: number;
	to: number;
	node?: string;
	server?: string;
	/** Nodes that a store served which was silent to all others: it disturbs nobody while one of these is well. */
	served?: string[];
};

/** A planned stop of a node. */
export type StopRecord = {node: string; at: number; endedAt: number};

/** A request that reached a backend server which named a limit, in requests a second; `namedAt` is when it first did. */
export type LimitedArrival = {server: string; node: string; at: number; limit: number; namedAt: number};

/** A crashing request reached a backend server, or crashed it. */
export type CrashRecord = {request: string; server: string; node: string; at: number; hasCrashed: boolean};

/** Memory that a backend server still had set aside at the end. */
export type LeftMemory = {server: string; reservation: string};

/** A node that did not use just the servers that were ready at the end. */
export type UnusedServers = {node: string; usable: number; ready: number};

/** All of a run. */
export type RunRecords = {
	calls: CallRecord[];
	runs: RunRecord[];
	changes: ChangeRecord[];
	faults: FaultRecord[];
	stops: StopRecord[];
	limitedArrivals: LimitedArrival[];
	crashes: CrashRecord[];
	leftMemory: LeftMemory[];
	unusedServers: UnusedServers[];
};

/** An empty set. */
export function createRecords(): RunRecords {
	return {
		calls: [], runs: [], changes: [], faults: [], stops: [], limitedArrivals: [], crashes: [], leftMemory: [], unusedServers: [],
	};
}
