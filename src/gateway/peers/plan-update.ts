/**
 * What nodes tell the deciding node of their plans, in datagrams beside the heartbeats.
 *
 * News may be lost: once a second each node lists all plans that it carries out, and what
 * is not listed is forgotten. A call with an answer for each note would cost the deciding
 * node most of its time.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import type {
	BoxId, RequestFingerprint, PlanId, ServiceName,
} from '../../common/index.js';
import type {ReportedLimit, PlanEvent, CrashReport} from '../../planning/index.js';

/** News of one node on one service. */
export type PlanUpdate = {
	service: ServiceName;
	node: BoxId;
	notes: PlanEvent[];
	/** All plans that the node carries out; undefined when it only has notes. */
	active?: PlanId[];
	/** Requests under which servers have ended. */
	crashRecords?: Array<[RequestFingerprint, CrashReport[]]>;
	/** Limits that servers have named or lifted. */
	limits?: ReportedLimit[];
};

/** First byte of news; heartbeats begin with another one. */
const planUpdatePrefix = 'N';

const planUpdateSchema = z.object({
	service: z.string(),
	node: z.string(),
	notes: z.array(z.looseObject({planId: z.string(), kind: z.enum(['started', 'ended', 'failed', 'server_ended', 'survived'])})),
	active: z.array(z.string()).optional(),
	crashRecords: z.array(z.tuple([z.string(), z.array(z.object({server: z.string(), age: z.number(), weight: z.number()}))])).optional(),
	limits: z.array(z.object({server: z.string(), requestsPerSecond: z.number().min(0).optional(), age: z.number()})).optional(),
});

/** Writes news. */
export function encodePlanUpdate(update: PlanUpdate): Uint8Array {
	return Buffer.from(planUpdatePrefix + JSON.stringify(update));
}

/** Whether a datagram holds news, by its first byte. */
export function isPlanUpdate(message: Uint8Array): boolean {
	return message[0] === planUpdatePrefix.codePointAt(0);
}

/** Reads news; throws when they are none. */
export function decodePlanUpdate(message: Uint8Array): PlanUpdate {
	return planUpdateSchema.parse(JSON.parse(Buffer.from(message.subarray(1)).toString())) as unknown as PlanUpdate;
}
