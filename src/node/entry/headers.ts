/** Names of the request headers for callers; see `docs/CALLERS.md`. */

/** Time limit of the request, in whole milliseconds. */
export const timeLimitHeader = 'x-time-bound-ms';
/** `true` marks a request that must not be retried once it may have run. */
export const notRepeatableHeader = 'x-not-repeatable';
/** Run key: requests with the same key run at most once in total. */
export const runKeyHeader = 'x-run-key';
