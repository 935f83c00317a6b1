/** Types of a node's settings file. `docs/SETTINGS.md` documents every key. */

/** A TCP listener. */
export type ListenerSettings = {
	/** IP address to listen on and to advertise. */
	host: string;
	/**
	 * Port to listen on; 0 selects a free port.
	 *
	 * @default 0
	 */
	port: number;
};

/** A team with access to the operators' listener. */
export type OperatorSettings = {
	/** Name of the team's partner. */
	partner: string;
	/** SHA-256 of the team's token, in hexadecimal. */
	tokenHash: string;
};

/** Limits for requests from callers. */
export type EntrySettings = {
	/**
	 * Seconds for which callers may cache a response of `/v1/addresses`.
	 *
	 * @default 30
	 */
	addressLifetimeSeconds: number;
	/**
	 * Seconds for which a run key is valid, counted from the address response it was created from.
	 *
	 * @default 600
	 */
	runKeyLifetimeSeconds: number;
	/**
	 * Maximum size of a request body, in mebibytes.
	 *
	 * @default 16
	 */
	bodyLimitMebibytes: number;
	/**
	 * Mebibytes of request bodies buffered at once; requests beyond it are refused with `node_busy`.
	 *
	 * @default 256
	 */
	heldBodiesMebibytes: number;
	/**
	 * Mebibytes of outcomes stored for run keys. Beyond it, the oldest responses are dropped and only the fact that the key ran is kept.
	 *
	 * @default 64
	 */
	keptOutcomesMebibytes: number;
	/**
	 * Maximum number of requests in progress; more are refused with `node_busy`.
	 *
	 * @default 2000
	 */
	requestLimit: number;
	/**
	 * Retry budget, as a share of recent requests.
	 *
	 * @default 0.1
	 */
	retryShare: number;
};

/** Settings of one node. */
export type Settings = {
	/** Unique name of the box. */
	box: string;
	/** Region of the box. */
	region: string;
	/** Availability zone of the box. */
	availabilityZone: string;
	/** Listener for callers. */
	callers: ListenerSettings;
	/** Listener for operators. */
	operators: ListenerSettings & {teams: OperatorSettings[]};
	/** Listener for other nodes. */
	nodes: ListenerSettings & {
		/** Secret shared by all nodes; messages without it are refused. */
		secret: string;
	};
	/** Object API of the platform. */
	platform: {
		/** Base URL. */
		url: string;
	};
	/** Limits for requests from callers. */
	entry: EntrySettings;
	/** Log output. */
	log: {
		/**
		 * Minimum level written: `debug`, `info`, `warn`, `error` or `silent`.
		 *
		 * @default "info"
		 */
		level: 'debug' | 'info' | 'warn' | 'error' | 'silent';
	};
	/** Metrics, sent as StatsD over UDP; none are sent when omitted. */
	metrics?: {
		/** IP address of the collector. */
		host: string;
		/**
		 * Port of the collector.
		 *
		 * @default 8125
		 */
		port: number;
	};
};
