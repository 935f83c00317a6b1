/**
 * The closed list of error kinds and the table from kind to answer.
 *
 * `docs/ERRORS.md` shows the same table to callers; a test keeps the two in step.
 */

/** Whether the request ran: not at all, perhaps, in part, or wholly. */
export type ExecutionState = 'no' | 'maybe' | 'partly' | 'yes';

/** How an error kind is answered. */
export type ErrorAnswer = {
	/** HTTP status code. */
	status: number;
	/** The `type` field of an OpenAI-style error. */
	type: 'invalid_request_error' | 'authentication_error' | 'permission_error' | 'not_found_error' | 'rate_limit_error' | 'server_error';
	/** Whether the request ran, unless the failure says otherwise. */
	ran: ExecutionState;
	/** Seconds after which the caller may try again; absent where trying again cannot help. */
	retryAfterSeconds?: number;
};

/** One row for each error kind. */
export const errorTable = {
	invalid_json: {status: 400, type: 'invalid_request_error', ran: 'no'},
	invalid_request: {status: 400, type: 'invalid_request_error', ran: 'no'},
	invalid_time_bound: {status: 400, type: 'invalid_request_error', ran: 'no'},
	invalid_run_key: {status: 400, type: 'invalid_request_error', ran: 'no'},
	unknown_key: {status: 401, type: 'authentication_error', ran: 'no'},
	service_forbidden: {status: 403, type: 'permission_error', ran: 'no'},
	unknown_model: {status: 404, type: 'not_found_error', ran: 'no'},
	unknown_path: {status: 404, type: 'not_found_error', ran: 'no'},
	body_too_large: {status: 413, type: 'invalid_request_error', ran: 'no'},
	prompt_too_large: {status: 400, type: 'invalid_request_error', ran: 'no'},
	run_key_reused: {status: 409, type: 'invalid_request_error', ran: 'no'},
	run_key_expired: {status: 409, type: 'invalid_request_error', ran: 'maybe'},
	run_key_closed: {status: 409, type: 'invalid_request_error', ran: 'no'},
	outcome_unknown: {status: 409, type: 'server_error', ran: 'maybe'},
	outcome_not_kept: {status: 409, type: 'server_error', ran: 'yes'},
	owner_unreachable: {
		status: 503, type: 'server_error', ran: 'maybe', retryAfterSeconds: 1,
	},
	node_busy: {
		status: 503, type: 'rate_limit_error', ran: 'no', retryAfterSeconds: 1,
	},
	node_not_ready: {
		status: 503, type: 'server_error', ran: 'no', retryAfterSeconds: 1,
	},
	policy_refused: {status: 429, type: 'rate_limit_error', ran: 'no'},
	rate_limited: {
		status: 429, type: 'rate_limit_error', ran: 'no', retryAfterSeconds: 1,
	},
	overloaded: {
		status: 503, type: 'rate_limit_error', ran: 'no', retryAfterSeconds: 1,
	},
	no_backend_server: {
		status: 503, type: 'server_error', ran: 'no', retryAfterSeconds: 2,
	},
	no_dispatcher: {
		status: 503, type: 'server_error', ran: 'no', retryAfterSeconds: 2,
	},
	bound_passed_waiting: {
		status: 503, type: 'rate_limit_error', ran: 'no', retryAfterSeconds: 2,
	},
	bound_passed_running: {status: 504, type: 'server_error', ran: 'partly'},
	backend_rejected: {status: 400, type: 'invalid_request_error', ran: 'no'},
	backend_busy: {
		status: 503, type: 'server_error', ran: 'no', retryAfterSeconds: 1,
	},
	ends_servers: {
		status: 503, type: 'server_error', ran: 'no', retryAfterSeconds: 600,
	},
	backend_unconfirmed: {status: 502, type: 'server_error', ran: 'maybe'},
	backend_lost: {status: 502, type: 'server_error', ran: 'partly'},
	answer_crossed: {status: 502, type: 'server_error', ran: 'partly'},
	caller_gone: {status: 499, type: 'server_error', ran: 'partly'},
	node_stopped: {status: 503, type: 'server_error', ran: 'partly'},
	internal: {status: 500, type: 'server_error', ran: 'maybe'},
} as const satisfies Record<string, ErrorAnswer>;

/** A kind of error; the list is closed. */
export type ErrorKind = keyof typeof errorTable;

/** Something that went wrong, in the terms of the table. */
export type Failure = {
	kind: ErrorKind;
	/** What happened and, where there is one, the mend; read by people. */
	message: string;
	/** Overrides the table's value where more is known. */
	ran?: ExecutionState;
	/** Overrides the table's value where a better hint is known. */
	retryAfterSeconds?: number;
};

/** An error as callers see it: OpenAI's shape plus `ran`. */
export type ErrorBody = {
	error: {
		message: string;
		type: string;
		param: undefined;
		code: ErrorKind;
		ran: ExecutionState;
		retry_after_seconds?: number;
	};
};

/** Makes a failure of a kind. */
export function createFailure(kind: ErrorKind, message: string, overrides: Pick<Failure, 'ran' | 'retryAfterSeconds'> = {}): Failure {
	return {kind, message, ...overrides};
}

/** Looks up how a failure is answered, with what the failure itself overrides. */
export function findAnswer(failure: Failure): ErrorAnswer {
	const row: ErrorAnswer = errorTable[failure.kind];
	return {
		...row,
		ran: failure.ran ?? row.ran,
		retryAfterSeconds: failure.retryAfterSeconds ?? row.retryAfterSeconds,
	};
}

/** Formats a failure as the body of an error answer. */
export function formatErrorBody(failure: Failure): ErrorBody {
	const answer = findAnswer(failure);
	return {
		error: {
			message: failure.message,
			type: answer.type,
			param: undefined,
			code: failure.kind,
			ran: answer.ran,
			...(answer.retryAfterSeconds === undefined ? {} : {retry_after_seconds: answer.retryAfterSeconds}),
		},
	};
}

/** Reads a message from anything thrown. */
export function readErrorMessage(thrown: unknown): string {
	return thrown instanceof Error ? thrown.message : String(thrown);
}
