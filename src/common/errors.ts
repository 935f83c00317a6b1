/**
 * All error kinds and the HTTP response for each of them.
 *
 * `docs/ERRORS.md` documents the same table; a test compares the two.
 */

/** Whether the request was executed: not at all, possibly, partly or completely. */
export type ExecutionState = 'no' | 'maybe' | 'partly' | 'yes';

/** HTTP response properties of an error kind. */
export type ErrorAnswer = {
	/** HTTP status code. */
	status: number;
	/** `type` field of an OpenAI-style error. */
	type: 'invalid_request_error' | 'authentication_error' | 'permission_error' | 'not_found_error' | 'rate_limit_error' | 'server_error';
	/** Default execution state; a failure may override it. */
	ran: ExecutionState;
	/** Seconds after which the caller may retry; absent when a retry cannot succeed or is unsafe. */
	retryAfterSeconds?: number;
};

/** Response properties by error kind. */
export const errorTable = {
	invalid_json: {status: 400, type: 'invalid_request_error', ran: 'no'},
	invalid_request: {status: 400, type: 'invalid_request_error', ran: 'no'},
	invalid_time_bound: {status: 400, type: 'invalid_request_error', ran: 'no'},
	invalid_run_key: {status: 400, type: 'invalid_request_error', ran: 'no'},
	unknown_key: {status: 401, type: 'authentication_error', ran: 'no'},
	service_forbidden: {status: 403, type: 'permission_error', ran: 'no'},
	unknown_model: {status: 404, type: 'not_found_error', ran: 'no'},
	unknown_path: {status: 404, type: 'not_found_error', ran: 'no'},
	headers_too_large: {status: 431, type: 'invalid_request_error', ran: 'no'},
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

/** Error kind. */
export type ErrorKind = keyof typeof errorTable;

/** Expected error that is returned as a value. */
export type Failure = {
	kind: ErrorKind;
	/** Human-readable description of the error and, if possible, how to resolve it. */
	message: string;
	/** Overrides the default execution state. */
	ran?: ExecutionState;
	/** Overrides the default retry delay, in seconds. */
	retryAfterSeconds?: number;
};

/** Error body sent to callers: the format of OpenAI with `ran` and `retry_after_seconds` added. */
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

/** Creates a failure. */
export function createFailure(kind: ErrorKind, message: string, overrides: Pick<Failure, 'ran' | 'retryAfterSeconds'> = {}): Failure {
	return {kind, message, ...overrides};
}

/** Returns the response properties of a failure, including its overrides. */
export function findAnswer(failure: Failure): ErrorAnswer {
	const row: ErrorAnswer = errorTable[failure.kind];
	return {
		...row,
		ran: failure.ran ?? row.ran,
		retryAfterSeconds: failure.retryAfterSeconds ?? row.retryAfterSeconds,
	};
}

/** Formats a failure as an error response body. */
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

/** Returns the message of any thrown value. */
export function readErrorMessage(thrown: unknown): string {
	return thrown instanceof Error ? thrown.message : String(thrown);
}
