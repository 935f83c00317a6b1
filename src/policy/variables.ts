/** Variables available to policy programs; documented for operators in `docs/POLICIES.md`. */

/** Values of all variables. CEL sees the numbers as doubles. */
export type PolicyContext = {
	request: {
		/** Estimated number of prompt tokens. */
		promptTokens: number;
		/** Number of output tokens requested. */
		outputTokens: number;
		/** Name of the service. */
		service: string;
		/** Milliseconds that the caller waits at most. */
		bound: number;
	};
	organisation: {
		name: string;
		/** Number of the organisation's requests running in this pool. */
		running: number;
		/** Tokens held by its running requests in this pool. */
		tokensHeld: number;
	};
	pool: {
		name: string;
		/** Free share of the pool's memory, from 0 to 1. */
		freeShare: number;
		/** Number of queued requests. */
		waiting: number;
	};
	now: {
		/** Hour of the day in UTC, from 0 to 23. */
		hour: number;
		/** Minute of the hour. */
		minute: number;
		/** Day of the week in UTC; 0 is Sunday. */
		weekday: number;
	};
};

/** CEL types of the variables. */
export const variableTypes = {
	request: {
		promptTokens: 'double', outputTokens: 'double', service: 'string', bound: 'double',
	},
	organisation: {name: 'string', running: 'double', tokensHeld: 'double'},
	pool: {name: 'string', freeShare: 'double', waiting: 'double'},
	now: {hour: 'double', minute: 'double', weekday: 'double'},
} as const;

/** Programs of a policy and their return types. */
export const programTypes = {
	/** Scheduling weight of the organisation among those of its partner. */
	weight: 'number',
	/** Sort key within the organisation; lower values are served first. */
	order: 'number',
	/** Whether the request is admitted. */
	admit: 'bool',
	/** Maximum number of tokens that the organisation's running requests may hold in the pool. */
	limit: 'number',
} as const;

/** Name of a program. */
export type ProgramName = keyof typeof programTypes;

/** Source of a policy's programs; an omitted program takes its default. */
export type PolicyTexts = Partial<Record<ProgramName, string>>;
