/**
 * What a gateway routes by: routes, services, organisations and backend servers.
 *
 * Plain data, decoded by whichever adapter feeds the gateway (`FleetSource`).
 */
import type {
	AvailabilityZone, BackendServerId, BackendServerName, OrganisationId, ServiceName,
} from '../common/index.js';

/** What may be done with a request a second time: repeated freely, never, or an event stream. */
export type CallKind = 'repeatable' | 'once' | 'stream';

/** One service that a route sends to, with its share among the route's services. */
export type WeightedService = {service: ServiceName; weight: number};

/** One route: a host and a path prefix, and how its requests are treated. */
export type Route = {
	name: string;
	/** Host without a port, in lower case. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: CallKind;
	/** Longest time a request may be held, in milliseconds. */
	timeLimit: number;
	/** Time to a whole answer, or to a stream's first event, in milliseconds. */
	objective: number;
	/** Longest pause between two events of a stream, in milliseconds; undefined for other kinds. */
	longestPause?: number;
	/** Silence after which callers of a stream leave, before its first event as well, in milliseconds; undefined for other kinds. */
	longestSilence?: number;
	/** Backend servers that may run one request. */
	attempts: number;
	/** 0 is the most urgent. */
	priority: number;
	/** Whether requests need no key. */
	isAnonymous: boolean;
	/** Whether a broken stream may be continued on another backend server. */
	canResume: boolean;
	services: WeightedService[];
};

/** Figures of a model server, as its operators state them. Times in milliseconds. */
export type EngineProfile = {
	/** Requests that write side by side. */
	slots: number;
	/** Tokens that fit into its memory. */
	memoryTokens: number;
	/** Cost of one step. */
	stepTime: number;
	/** Added to a step by each writing request. */
	stepTimePerWriter: number;
	/** Added to a step by each thousand tokens of context of its writers. */
	stepTimePerThousandContext: number;
	/** Prompt tokens read in a millisecond. */
	readRate: number;
	/** Added to reading by each million pairs of a token and an earlier one. */
	timePerMillionPairs: number;
	/** Steps in one pass over all that writes. */
	stepsPerPass: number;
};

/** A service and how its backend servers are reached. */
export type ServiceSpec = {
	name: ServiceName;
	/** Connections that one of its servers takes from all callers together. */
	connectionLimit: number;
	/** Present for model servers. */
	engine?: EngineProfile;
};

/** A customer and the keys that stand for it. */
export type Organisation = {name: OrganisationId; keys: string[]; priority?: number};

/** Bounds on what callers send. */
export type CallerLimits = {
	headerBytes: number;
	bodyBytes: number;
	/** Milliseconds for a whole request head. */
	headerTime: number;
	/** Milliseconds for which an idle connection is kept. */
	idleTime: number;
};

/** One version of the configuration, whole. */
export type RoutingConfig = {
	version: number;
	routes: Route[];
	services: ServiceSpec[];
	organisations: Organisation[];
	limits: CallerLimits;
};

/** One life of one backend server. */
export type BackendServer = {
	/** This life: another one under the same name is another server to whoever places requests. */
	id: BackendServerId;
	/** What servers and their source call it. */
	name: BackendServerName;
	/** Revision of its entry at the source: of two entries of a name the later one counts. */
	entryRevision: number;
	service: ServiceName;
	/** `IP:PORT`. */
	address: string;
	availabilityZone: AvailabilityZone;
	/** Requests it works on at once. */
	slots: number;
	/** Whether it takes no new work. */
	isLeaving: boolean;
};
