/** Steady load on a fleet of gateways. */
import type {GatewayFleet, ReceivedResponse} from './gateways.js';
import {pause} from './pause.js';

/** Header field with the index of the node that a request was sent to; nodes pass it on to servers. */
export const nodeField = 'x-test-node';

/** Sends requests with distinct bodies at a rate per second, round-robin over the running nodes, and returns the responses in order. */
export async function loadSteadily(fleet: GatewayFleet, options: {path: string; rate: number; duration: number; headers?: Record<string, string>}): Promise<ReceivedResponse[]> {
	const {path, rate, duration, headers} = options;
	const calls: Array<Promise<ReceivedResponse>> = [];
	const start = Date.now();
	while (Date.now() - start < duration) {
		const node = calls.length % fleet.settings.length;
		calls.push(fleet.call({path, body: `body ${calls.length}`, headers: {...headers, [nodeField]: fleet.settings[node].box}}, node));
		await pause(Math.max(0, start + (calls.length * 1000 / rate) - Date.now()));
	}

	return Promise.all(calls);
}
