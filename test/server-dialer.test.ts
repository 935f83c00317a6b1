// Connection attempts to servers.
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {afterEach, expect, test} from '@jest/globals';
import {systemClock} from '../src/common/index.js';
import {TcpDialer} from '../src/gateway/calls/index.js';
import {LoopbackServer} from './helpers/platform-standins.js';
import {pause} from './helpers/pause.js';

/** Time that timers and the event loop may add, in milliseconds. */
const tolerance = 100;

/** Connections that fill the queue of a paused process. */
const fillers = 6;

let paused: ChildProcess | undefined;
let sockets: Socket[] = [];

afterEach(() => {
	paused?.kill('SIGKILL');
	paused = undefined;
	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}
});

/** Starts a process that listens, pauses it and fills its queue: further attempts hang. */
async function startHanging(): Promise<string> {
	const program = 'require("net").createServer().listen({port: 0, host: "127.0.0.1", backlog: 1}, function () { console.log(this.address().port); })';
	paused = spawn(process.execPath, ['-e', program], {stdio: ['ignore', 'pipe', 'inherit']});
	const [line] = await once(paused.stdout!, 'data') as [Uint8Array];
	const port = Number(String(line));
	paused.kill('SIGSTOP');
	sockets = Array.from({length: fillers}, () => connect(port, '127.0.0.1').on('error', () => {})); // eslint-disable-line @typescript-eslint/no-empty-function
	await pause(tolerance);
	return `127.0.0.1:${port}`;
}

async function dial(address: string, timeout: number): Promise<{error: Error | null; socket: Socket | null; took: number}> { // eslint-disable-line @typescript-eslint/no-restricted-types -- as undici's callback
	const start = performance.now();
	return new Promise(resolve => {
		new TcpDialer(systemClock).dial(address, timeout, (error, socket) => {
			resolve({error, socket, took: performance.now() - start});
		});
	});
}

// Guards against timers with a resolution of half a second: an attempt with a timeout of 400 ms took 0.9 s.
test.each([100, 200, 400])('a connection attempt that hangs ends after %i ms', async timeout => {
	const {error, took} = await dial(await startHanging(), timeout);
	expect(error).toBeInstanceOf(Error);
	expect(took).toBeGreaterThanOrEqual(timeout - 1);
	expect(took).toBeLessThan(timeout + tolerance);
});

test('a connection outlives its connect timeout', async () => {
	const server = await new LoopbackServer(async () => {}).start(); // eslint-disable-line @typescript-eslint/no-empty-function
	const {socket} = await dial(server.address, 50);
	await pause(tolerance);
	expect(socket?.destroyed).toBe(false);
	socket?.destroy();
	await server.stop();
});

test('a refused connection fails with its code', async () => {
	const server = await new LoopbackServer(async () => {}).start(); // eslint-disable-line @typescript-eslint/no-empty-function
	const {address} = server;
	await server.stop();
	const {error} = await dial(address, 400);
	expect(error).toMatchObject({code: 'ECONNREFUSED'});
});
