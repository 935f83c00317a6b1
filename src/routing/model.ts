/**
 * Routing data: routes, services, organisations and backend servers.
 *
 * Plain data, decoded by the adapter of the external store (`FleetSource`).
 */
import type {
	AvailabilityZone, BackendServerId, BackendServerName, OrganisationId, ServiceName,
} from '../common/index.js';

/** How a request may be retried: freely (`repeatable`), never after it may have run (`once`), or as a resumable event stream (`stream`). */
export type CallKind = 'repeatable' | 'once' | 'stream';

/** A service of a route, with its weight among the route's services. */
export type WeightedService = {service: ServiceName; weight: number};

/** A host and a path prefix, and how their requests are handled. */
export type Route = {
	name: string;
	/** Host without a port, in lower case. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: CallKind;
	/** Maximum time for a request, in milliseconds. */
	timeLimit: number;
	/** Target time to the complete answer, or to a stream's first event, in milliseconds. */
	objective: number;
	/** Target for the longest pause between two events of a stream, in milliseconds; undefined for other kinds. */
	longestPause?: number;
	/** Silence after which callers abandon a stream, also before its first event, in milliseconds; undefined for other kinds. */
	longestSilence?: number;
	/** Maximum number of backend servers that may run one request. */
	attempts: number;
	/** 0 is the most urgent. */
	priority: number;
	/** Whether requests are accepted without a key. */
	isAnonymous: boolean;
	/** Whether an interrupted stream may be resumed on another backend server. */
	canResume: boolean;
	services: WeightedService[];
};

/** Performance parameters of a model server, as configured by operators. Times in milliseconds. */
export type EngineProfile = {
	/** Requests that generate tokens concurrently. */
	slots: number;
	/** Capacity of the key-value cache in tokens. */
	memoryTokens: number;
	/** Duration of one decoding step. */
	stepTime: number;
	/** Added to a step by each request that generates tokens. */
	stepTimePerWriter: number;
	/** Added to a step by each thousand context tokens of the requests that generate. */
	stepTimePerThousandContext: number;
	/** Prompt tokens processed (prefilled) per millisecond. */
	readRate: number;
	/** Added to prefill by each million attention pairs (a token and an earlier one). */
	timePerMillionPairs: number;
	/** Decoding steps in one pass over all generating requests. */
	stepsPerPass: number;
};

/** How servers work right after a start: requests per second that a cold server takes from all nodes, and the time for which it is cold, in milliseconds. */
export type ColdStart = {requestsPerSecond: number; duration: number};

/** A service and how its backend servers are reached. */
export type ServiceSpec = {
	name: ServiceName;
	/** Maximum number of connections to one of its servers, over all callers. */
	connectionLimit: number;
	/** Present for model servers. */
	engine?: EngineProfile;
	/** Present if its servers are cold after a start. */
	coldStart?: ColdStart;
};

/** A customer and its API keys. */
export type Organisation = {name: OrganisationId; keys: string[]; priority?: number};

/** Limits on requests and connections of callers. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	/** Time to receive a complete request head, in milliseconds. */
	headerTime: number;
	/** Time after which an idle connection is closed, in milliseconds. */
	idleTime: number;
};

/** One complete version of the configuration. */
export type RoutingConfig = {
	version: number;
	routes: Route[];
	services: ServiceSpec[];
	organisations: Organisation[];
	limits: CallerLimits;
};

/** An availability zone whose servers get no new requests while its entry exists. */
export type ZoneEvacuation = {
	zone: AvailabilityZone;
	/** Position of the write of its entry. */
	position: number;
};

/** One incarnation of a backend server: from its start until it stops or restarts. */
export type BackendServer = {
	/** Id of this incarnation; for placement each incarnation is a separate server. */
	id: BackendServerId;
	/** Name in the source; stays the same across restarts. */
	name: BackendServerName;
	/** Revision of its entry in the source; of two entries of a name the later one counts. */
	entryRevision: number;
	service: ServiceName;
	/** `IP:PORT`. */
	address: string;
	availabilityZone: AvailabilityZone;
	/** Requests that it processes concurrently. */
	slots: number;
	/** Whether it is draining and accepts no new requests. */
	isLeaving: boolean;
	/** Time for which it is still cold, in milliseconds from when the entry was received; absent when it is warm. */
	coldFor?: number;
};
