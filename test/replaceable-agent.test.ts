import {setImmediate} from 'node:timers/promises';
import {expect, test} from '@jest/globals';
import {ReplaceableAgent} from '../src/common/index.js';

// The process ended with an unhandled ClientDestroyedError, when a call to another node timed out in its shutdown.
test('a call that times out after the connections were closed replaces none', async () => {
	const agent = new ReplaceableAgent({});
	const used = agent.current;
	await agent.close();
	expect(agent.replace(used)).toBe(false);
	await setImmediate();
	expect(agent.current).toBe(used);
});

test('connections are closed while earlier ones drain', async () => {
	const agent = new ReplaceableAgent({});
	expect(agent.replace(agent.current)).toBe(true);
	await agent.close();
	await setImmediate();
	expect(agent.current.destroyed).toBe(true);
});
