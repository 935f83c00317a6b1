/** The settings of a node, as read from its TOML file. `docs/SETTINGS.md` has a section on each. */

/** A TCP listener. */
export type ListenerSettings = {
	/** IP number to listen on, and the one told to others. */
	host: string;
	/**
	 * Port to listen on; 0 takes a free one.
	 *
	 * @default 0
	 */
	port: number;
};

/** An operator team that may use the operators' listener. */
export type OperatorSettings = {
	/** Name of the partner the team belongs to. */
	partner: string;
	/** SHA-256 of the team's token, hexadecimal. */
	tokenHash: string;
};

/** Limits on the callers' side of a node. */
export type EntrySettings = {
	/**
	 * Seconds for which callers may keep an answer of `/v1/addresses`.
	 *
	 * @default 30
	 */
	addressLifetimeSeconds: number;
	/**
	 * Seconds for which a run key can be used after the address answer it was made from.
	 *
	 * @default 600
	 */
	runKeyLifetimeSeconds: number;
	/**
	 * Largest request body, in mebibytes.
	 *
	 * @default 16
	 */
	bodyLimitMebibytes: number;
	/**
	 * Mebibytes of request bodies held at once; more are refused with `node_busy`.
	 *
	 * @default 256
	 */
	heldBodiesMebibytes: number;
	/**
	 * Mebibytes of outcomes kept for run keys; past it, the oldest answers are dropped and only the fact is kept.
	 *
	 * @default 64
	 */
	keptOutcomesMebibytes: number;
	/**
	 * Requests in progress at once; more are refused with `node_busy`.
	 *
	 * @default 2000
	 */
	requestLimit: number;
	/**
	 * Retries allowed, as a share of recent requests.
	 *
	 * @default 0.1
	 */
	retryShare: number;
};

/** Settings of one node. */
export type Settings = {
	/** Name of the box; unique. */
	box: string;
	/** Region of the box. */
	region: string;
	/** Availability zone of the box. */
	availabilityZone: string;
	/** Where callers connect. */
	callers: ListenerSettings;
	/** Where operators connect. */
	operators: ListenerSettings & {teams: OperatorSettings[]};
	/** Where other nodes connect. */
	nodes: ListenerSettings & {
		/** Secret shared by all nodes; a message without it is refused. */
		secret: string;
	};
	/** The platform's object API. */
	platform: {
		/** Base URL. */
		url: string;
	};
	/** Limits on the callers' side. */
	entry: EntrySettings;
	/** Logs. */
	log: {
		/**
		 * Least level written: `debug`, `info`, `warn`, `error` or `silent`.
		 *
		 * @default "info"
		 */
		level: 'debug' | 'info' | 'warn' | 'error' | 'silent';
	};
	/** Metrics, sent as StatsD over UDP; left out, none are sent. */
	metrics?: {
		/** IP number of the collector. */
		host: string;
		/**
		 * Port of the collector.
		 *
		 * @default 8125
		 */
		port: number;
	};
};
