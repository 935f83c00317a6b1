/**
 * Preloaded into gateways to redirect connections between nodes through the links of the soak.
 *
 * A node advertises the address it listens on, so a link cannot be inserted through its settings.
 */
import {writeSync} from 'node:fs';
import net from 'node:net';
import process from 'node:process';

const detours = JSON.parse(process.env.SOAK_DETOURS ?? '{}') as Record<string, number>;
/** Address that connections of this process come from, so that links can tell nodes apart. */
const source = process.env.SOAK_SOURCE;
const {connect} = net;

type Connect = (...words: unknown[]) => net.Socket;

/** Redirects calls that pass an options object, the only form used between nodes; other calls are unchanged. */
const connectByDetour: Connect = (options, ...rest) => {
	const asked = options as Record<string, unknown>;
	const port = detours[String(asked.port)];
	return (connect as Connect)({...asked, ...(port !== undefined && {port}), ...(source !== undefined && {localAddress: source})}, ...rest);
};

net.connect = connectByDetour;

// Node.js prints the source line first, which is long in a bundle: the pipe may be full before the stack.
process.on('uncaughtExceptionMonitor', error => {
	writeSync(process.stderr.fd, `${JSON.stringify({event: 'uncaught', stack: error.stack})}\n`);
});
