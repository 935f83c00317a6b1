/** Observations of callers, backend servers and the operator in a run; times are wall-clock milliseconds of one machine. */

/** Outcome of a request, as its caller observed it. */
export type CallRecord = {
	id: string;
	/** Kind of request: `once` may run at most once; the others may be retried. */
	kind: 'once' | 'again' | 'stream' | 'version' | 'added';
	node: string;
	sentAt: number;
	endedAt: number;
	/** HTTP status of the response; 0 without a response. */
	status: number;
	/** Whether the response body ended normally. */
	isComplete: boolean;
	/** Describes the error in a complete response; undefined when the response is the expected one. */
	wrong?: string;
	/** Service that answered; it shows which configuration version was active. */
	service?: string;
	/** Configuration version that added the route and the key of the request. */
	addedBy?: number;
	/** Deadline of the request, in milliseconds after it was sent. */
	limit: number;
	/** Whether it was sent on a connection that its caller keeps until a process closes it. */
	isKept?: boolean;
};

/** A backend server started to run a request; `doneAt` is when it finished, if it did. */
export type RunRecord = {id: string; server: string; service: string; node: string; at: number; zone?: string; doneAt?: number};

/** An evacuation of an availability zone: when the store wrote and removed its entry. */
export type EvacuationRecord = {zone: string; at: number; endedAt: number};

/** The store accepted a change: `sentAt` is when it was first sent, `at` when it was acknowledged. */
export type ChangeRecord = {at: number; sentAt: number; version?: {number: number; service: string}; leaving?: string};

/** Number of configuration versions that keep the route and the key added by a version. */
export const keptVersions = 6;

/** An injected fault; `node` or `server` is set when only that one was affected. */
export type FaultRecord = {
	kind: string;
	from: number;
	to: number;
	node?: string;
	server?: string;
	/** Nodes that a partially silent store still served; while one of them is healthy, the fault excuses no violation. */
	served?: string[];
};

/** Nodes that were cut from all backend servers for a time. */
export type CutRecord = {nodes: string[]; from: number; to: number};

/** A graceful shutdown of a node, and how its process ended; `wasKilled` after the grace period. */
export type StopRecord = {node: string; at: number; endedAt: number; exit?: string; wasKilled?: boolean};

/** A SIGHUP to a node. */
export type ReloadRecord = {node: string; at: number};

/** The process of a node ended without having been asked to. */
export type OwnEndRecord = {node: string; at: number; exit: string};

/** A request that reached a backend server with a rate limit, in requests per second; `namedAt` is when it first announced the limit. */
export type LimitedArrival = {server: string; node: string; at: number; limit: number; namedAt: number};

/** A crashing request reached a backend server or, with `hasCrashed`, crashed it. */
export type CrashRecord = {request: string; server: string; node: string; at: number; hasCrashed: boolean};

/** A memory reservation that a backend server still held at the end of the run. */
export type LeftMemory = {server: string; reservation: string};

/** A node whose usable servers differed from the ready servers at the end of the run. */
export type UnusedServers = {node: string; usable: number; ready: number};

/** All records of a run. */
export type RunRecords = {
	calls: CallRecord[];
	runs: RunRecord[];
	changes: ChangeRecord[];
	faults: FaultRecord[];
	stops: StopRecord[];
	reloads: ReloadRecord[];
	ownEnds: OwnEndRecord[];
	/** Ids of the requests that backend servers answered with bytes without end. */
	flooded: Set<string>;
	evacuations: EvacuationRecord[];
	cuts: CutRecord[];
	limitedArrivals: LimitedArrival[];
	crashes: CrashRecord[];
	leftMemory: LeftMemory[];
	unusedServers: UnusedServers[];
};

/** Creates empty records. */
export function createRecords(): RunRecords {
	return {
		calls: [], runs: [], changes: [], faults: [], stops: [], reloads: [], ownEnds: [], flooded: new Set(),
		evacuations: [], cuts: [], limitedArrivals: [], crashes: [], leftMemory: [], unusedServers: [],
	};
}

/** A violated guarantee. */
export type Violation = {promise: string; id: string; detail: string};
