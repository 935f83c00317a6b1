/** How a call on a backend server can fail. */
import {readErrorMessage} from '../common/index.js';

/** A call on a backend server that failed. */
export type BackendFailure = {
	/**
	 * `unreached`: nothing was sent, so nothing ran.
	 * `busy`: refused before running; another may take it.
	 * `rejected`: the request itself was refused before running.
	 * `unknown_request`: the backend server does not know the request.
	 * `lost`: sent, and the answer lost; it may have run.
	 */
	kind: 'unreached' | 'busy' | 'rejected' | 'unknown_request' | 'lost';
	message: string;
	/** HTTP status, where there was one. */
	status?: number;
};

/** Errors of a connection that was never made; the request cannot have been sent. */
const connectErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Tells from a thrown error whether the request can have reached the backend server. */
export function classifyError(error: unknown): BackendFailure {
	const code = (error as {code?: string} | undefined)?.code ?? '';
	const kind = connectErrors.has(code) ? 'unreached' : 'lost';
	return {kind, message: readErrorMessage(error)};
}
