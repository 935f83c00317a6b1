/**
 * Loaded into gateways before their program: connections to other nodes go through the links of the soak.
 *
 * A node tells the others the very address it listens on, so no link can stand between them otherwise.
 */
import net from 'node:net';
import process from 'node:process';

const detours = JSON.parse(process.env.SOAK_DETOURS ?? '{}') as Record<string, number>;
const {connect} = net;

type Connect = (...words: unknown[]) => net.Socket;

/** Only the form with options is used between nodes; whatever else comes is passed on as it is. */
const connectByDetour: Connect = (options, ...rest) => {
	const asked = options as Record<string, unknown>;
	const port = detours[String(asked.port)];
	return (connect as Connect)(port === undefined ? options : {...asked, port}, ...rest);
};

net.connect = connectByDetour;
