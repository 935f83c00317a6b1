/** RPC router for calls between nodes, built with tRPC. */
import {initTRPC} from '@trpc/server';
import type {NodeService} from './node-service.js';
import {
	admitSchema, heartbeatSchema, incarnationSchema, outcomeTransferSchema, keyedRequestSchema, poolSchema, urlSchema,
} from './messages.js';

const trpc = initTRPC.context<{service: NodeService}>().create();
const {procedure} = trpc;

/** Procedures that other nodes can call. */
export const nodeRouter = trpc.router({
	ping: procedure.query(({ctx}) => ctx.service.ping()),
	probe: procedure.input(urlSchema).query(async ({ctx, input}) => ({isReachable: await ctx.service.probe(input.url)})),
	admit: procedure.input(admitSchema).mutation(async ({ctx, input, signal}) =>
		ctx.service.admit(input.pool, input.request, signal ?? new AbortController().signal)),
	acceptHeartbeat: procedure.input(heartbeatSchema).mutation(({ctx, input}) => ctx.service.acceptHeartbeat(input)),
	listGrants: procedure.input(poolSchema).query(({ctx, input}) => ctx.service.listGrants(input.pool)),
	answersFor: procedure.input(incarnationSchema).query(({ctx, input}) => ({isOwner: ctx.service.answersFor(input.incarnation)})),
	runKeyed: procedure.input(keyedRequestSchema).mutation(async function * ({ctx, input, signal}) {
		yield * ctx.service.runKeyed(input, signal ?? new AbortController().signal);
	}),
	inherit: procedure.input(outcomeTransferSchema).mutation(({ctx, input}) => {
		ctx.service.inherit(input);
	}),
	noteLeaving: procedure.input(incarnationSchema).mutation(({ctx, input}) => {
		ctx.service.noteLeaving(input.incarnation);
	}),
});

/** Router type for typed clients. */
export type NodeRouter = typeof nodeRouter;
