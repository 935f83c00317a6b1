/** A loopback address that no other process of the machine listens at. */
import process from 'node:process';

/** Address of the first process; the others follow it, in a range that nothing else of the tests or the soak uses. */
const firstHost = (127 * (2 ** 24)) + (64 * (2 ** 16));

/** Numbers of processes that the range holds: as many as Linux gives out at most. */
const maxProcesses = 2 ** 22;

/** Finds the loopback address of a process. */
export function computeProcessHost(processId: number): string {
	const value = firstHost + (processId % maxProcesses);
	return [24, 16, 8, 0].map(shift => (value >>> shift) % 256).join('.'); // eslint-disable-line no-bitwise -- the parts of an address
}

/**
 * Where this process's stand-ins and nodes listen.
 *
 * A port that was free a moment ago may have belonged to a server of another process, whose nodes still send there.
 */
export const processHost = computeProcessHost(process.pid);
