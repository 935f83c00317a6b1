/**
 * Transport of calls to another node: the requests of tRPC's HTTP link, without its handling of forms and files.
 *
 * That handling loads the `fetch` of Node.js, which no node uses otherwise: about 50 ms of each start.
 */
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import type {Agent, Dispatcher} from 'undici';
import {fetchAnswer} from '../../common/index.js';
import {rpcPath} from '../../rpc/node-fetch.js';
import type {PeerRouter} from './peer-rpc.js';

/** Maximum size of a message between nodes, in bytes; the largest is a view of the fleet. */
export const maxPeerMessageBytes = 16 * 1024 * 1024;

/** The answer to a call, as tRPC writes it. */
type CallAnswer = {result?: {data?: unknown}; error?: unknown};

/** Creates the link to the node at an address; `onData` is called for each part of an answer. */
export function createPeerLink(address: string, findAgent: () => Agent, onData?: () => void): TRPCLink<PeerRouter> {
	return () => ({op}) => observable(observer => {
		const request = formatCall(address, op);
		const call = async () => {
			try {
				const {text} = await fetchAnswer(findAgent(), request, {signal: op.signal ?? undefined, maxBytes: maxPeerMessageBytes, onData});
				const answer = JSON.parse(text) as CallAnswer;
				if (answer.result === undefined) {
					throw TRPCClientError.from(answer as {error: never});
				}

				observer.next({result: {type: 'data', data: answer.result.data}});
				observer.complete();
			} catch (error) {
				observer.error(TRPCClientError.from(error as Error));
			}
		};

		void call();
		return () => {}; // eslint-disable-line @typescript-eslint/no-empty-function -- a call ends by its signal
	});
}

function formatCall(address: string, {type, path, input}: {type: string; path: string; input: unknown}): Dispatcher.DispatchOptions {
	const origin = `http://${address}`;
	const target = `${rpcPath}/${path}`;
	return type === 'mutation'
		? {
			origin, path: target, method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(input),
		}
		: {origin, path: `${target}?input=${encodeURIComponent(JSON.stringify(input))}`, method: 'GET'};
}
