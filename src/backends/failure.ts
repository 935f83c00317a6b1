/** Failures of calls to backend servers. */
import {readErrorMessage} from '../common/index.js';

/** A failed call to a backend server. */
export type BackendFailure = {
	/**
	 * `unreached`: the connection failed, so the request was not sent.
	 * `busy`: refused before execution; another server may accept it.
	 * `rejected`: the request itself was refused before execution.
	 * `unknown_request`: the backend server does not know the request.
	 * `lost`: sent without a usable response; it may have been executed.
	 */
	kind: 'unreached' | 'busy' | 'rejected' | 'unknown_request' | 'lost';
	message: string;
	/** HTTP status, if a response was received. */
	status?: number;
};

/** Connection errors after which the request cannot have been sent. */
const connectErrors = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

/** Classifies an error by whether the request may have reached the backend server. */
export function classifyError(error: unknown): BackendFailure {
	const code = (error as {code?: string} | undefined)?.code ?? '';
	const kind = connectErrors.has(code) ? 'unreached' : 'lost';
	return {kind, message: readErrorMessage(error)};
}
