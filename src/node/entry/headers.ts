/** Names of the headers that callers may send; `docs/CALLERS.md` explains them. */

/** Time bound of the request, in whole milliseconds. */
export const boundHeader = 'x-time-bound-ms';
/** `true` marks a request that must run at most once. */
export const notRepeatableHeader = 'x-not-repeatable';
/** The caller's run key. */
export const runKeyHeader = 'x-run-key';
