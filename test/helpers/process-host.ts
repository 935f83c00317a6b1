/** A loopback address used only by this process of the machine. */
import process from 'node:process';

/** First address of a range that no other part of the tests or the soak uses; each process has one address in it. */
const firstHost = (127 * (2 ** 24)) + (64 * (2 ** 16));

/** Number of addresses in the range: the maximum number of process ids on Linux. */
const maxProcesses = 2 ** 22;

/** Computes the loopback address of a process. */
export function computeProcessHost(processId: number): string {
	const value = firstHost + (processId % maxProcesses);
	return [24, 16, 8, 0].map(shift => (value >>> shift) % 256).join('.'); // eslint-disable-line no-bitwise -- the parts of an address
}

/**
 * Address at which this process's test servers and nodes listen.
 *
 * At a shared address a free port may have belonged to a server of another process, whose nodes still send requests to it.
 */
export const processHost = computeProcessHost(process.pid);
