/**
 * Transport of calls to another node: the requests of tRPC's HTTP link, without its handling of forms and files.
 *
 * That handling loads the `fetch` of Node.js, which no node uses otherwise: about 50 ms of each start.
 */
import {TRPCClientError, type TRPCLink} from '@trpc/client';
import {observable} from '@trpc/server/observable';
import type {Agent} from 'undici';
import {rpcPath, sendNodeRequest, type NodeRequest} from '../../rpc/node-fetch.js';
import type {PeerRouter} from './peer-rpc.js';

/** The answer to a call, as tRPC writes it. */
type CallAnswer = {result?: {data?: unknown}; error?: unknown};

/** Creates the link to the node at an address; `onData` is called for each part of an answer. */
export function createPeerLink(address: string, findAgent: () => Agent, onData?: () => void): TRPCLink<PeerRouter> {
	return () => ({op}) => observable(observer => {
		const {url, request} = formatCall(address, op);
		const call = async () => {
			try {
				const response = await sendNodeRequest(findAgent(), url, {...request, signal: op.signal ?? undefined}, onData);
				const answer = await response.json() as CallAnswer;
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

function formatCall(address: string, {type, path, input}: {type: string; path: string; input: unknown}): {url: string; request: NodeRequest} {
	const url = `http://${address}${rpcPath}/${path}`;
	return type === 'mutation'
		? {url, request: {method: 'POST', headers: {'content-type': 'application/json'}, body: JSON.stringify(input)}}
		: {url: `${url}?input=${encodeURIComponent(JSON.stringify(input))}`, request: {method: 'GET'}};
}
