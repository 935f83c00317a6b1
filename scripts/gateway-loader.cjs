/**
 * Runs the gateway's bundle from V8's code cache, when there is one for this very program.
 *
 * A node that was killed is back only when its program is compiled, and code that was
 * compiled before costs less memory than the compiler does. `build-gateway.js` puts this
 * beside the bundle as `target/cresshook.cjs`; V8 itself refuses a cache of another
 * version, other flags or another source, and compiles as if there were none.
 */
'use strict';

const {existsSync, readFileSync} = require('node:fs');
const net = require('node:net');
const {wrap} = require('node:module');
const path = require('node:path');
const process = require('node:process');
const vm = require('node:vm');

recordSignals();

/** Records signals until the program handles them, see `src/cli/process-signals.ts`: by default they would end the process. */
function recordSignals() {
	const received = [];
	const handlers = ['SIGTERM', 'SIGINT', 'SIGHUP'].map(name => [name, () => received.push(name)]);
	for (const [name, handler] of handlers) {
		process.on(name, handler);
	}

	globalThis[Symbol.for('cresshook.early-signals')] = {
		received,
		release() {
			for (const [name, handler] of handlers) {
				process.off(name, handler);
			}
		},
	};
}

/** Opens the callers' port before the program is loaded; the program goes on with it, see `src/gateway/early-listener.ts`. */
function openEarly(address) {
	const [host, port] = address.split(':');
	const connections = [];
	const server = net.createServer({pauseOnConnect: true, noDelay: true});
	server.on('connection', connection => {
		connections.push(connection);
	});
	// A port that is taken is reported when the program itself listens there.
	server.on('error', () => {
		globalThis[Symbol.for('cresshook.early-listener')] = undefined;
	});
	server.listen({host, port: Number(port)});
	globalThis[Symbol.for('cresshook.early-listener')] = {address, server, connections};
}

const earlyIndex = process.argv.indexOf('--early-callers');
if (earlyIndex !== -1 && process.argv[earlyIndex + 1] !== undefined) {
	openEarly(process.argv[earlyIndex + 1]);
}

const bundle = path.join(__dirname, 'gateway.cjs');
const cache = path.join(__dirname, 'gateway.cache');

const script = new vm.Script(wrap(readFileSync(bundle, 'utf8')), {
	filename: bundle,
	cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
});
/** Runs the program; once, but where its code cache is written. */
function run() {
	script.runInThisContext().call(module.exports, module.exports, require, module, bundle, __dirname);
}

run();

module.exports = {script, cache, run};
