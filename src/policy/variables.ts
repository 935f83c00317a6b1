/** What a policy program can see. `docs/POLICIES.md` explains each variable to operators. */

/** The values of all variables; numbers are doubles, texts strings. */
export type PolicyContext = {
	request: {
		/** Estimated tokens of the prompt. */
		promptTokens: number;
		/** Tokens of output asked for. */
		outputTokens: number;
		/** Name of the service. */
		service: string;
		/** Milliseconds the caller can wait. */
		bound: number;
	};
	organisation: {
		name: string;
		/** Requests of the organisation that run in this pool. */
		running: number;
		/** Tokens its running requests hold in this pool. */
		tokensHeld: number;
	};
	pool: {
		name: string;
		/** Share of the pool's memory that is free, from 0 to 1. */
		freeShare: number;
		/** Requests that wait. */
		waiting: number;
	};
	now: {
		/** Hour of the day in UTC, from 0 to 23. */
		hour: number;
		/** Minute of the hour. */
		minute: number;
		/** Day of the week in UTC, 0 is Sunday. */
		weekday: number;
	};
};

/** Types of the variables, as CEL names them. */
export const variableTypes = {
	request: {
		promptTokens: 'double', outputTokens: 'double', service: 'string', bound: 'double',
	},
	organisation: {name: 'string', running: 'double', tokensHeld: 'double'},
	pool: {name: 'string', freeShare: 'double', waiting: 'double'},
	now: {hour: 'double', minute: 'double', weekday: 'double'},
} as const;

/** The programs of a policy, with the type each must give. */
export const programTypes = {
	/** Weight of the organisation within its partner; more is served more. */
	weight: 'number',
	/** Order within the organisation; the least is served first. */
	order: 'number',
	/** Whether the request is taken at all. */
	admit: 'bool',
	/** Most tokens that the organisation's running requests may hold in the pool. */
	limit: 'number',
} as const;

/** Name of a program. */
export type ProgramName = keyof typeof programTypes;

/** The texts of a policy's programs; one left out takes its default. */
export type PolicyTexts = Partial<Record<ProgramName, string>>;
