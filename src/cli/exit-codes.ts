/** Exit codes of every command. */
export const exitCodes = {done: 0, failed: 1, usageError: 2} as const;
