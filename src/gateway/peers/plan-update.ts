/**
 * Updates on running plans that nodes send to the scheduling node, in datagrams on the heartbeat port.
 *
 * Updates may be lost, so each node lists its running plans once a second and unlisted plans are dropped. An RPC for
 * each event would take most of the scheduling node's time.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import type {
	BackendServerId, BoxId, CrashTrait, PlanId, ServiceName,
} from '../../common/index.js';
import {
	maxReportedOrganisations, type ReportedLimit, type ReportedUsage, type PlanEvent, type CrashReport,
} from '../../planning/index.js';
import type {ColdServer} from '../../routing/index.js';

/** Update from one node on one service. */
export type PlanUpdate = {
	service: ServiceName;
	node: BoxId;
	/** Events of plans that the node is running. */
	notes: PlanEvent[];
	/** All plans that the node is running; undefined if the update does not list them. */
	active?: PlanId[];
	/** Traits of requests that crashed servers, with their crashes. */
	crashRecords?: Array<[CrashTrait, CrashReport[]]>;
	/** Request limits that servers announced or lifted. */
	limits?: ReportedLimit[];
	/** Servers that are leaving. */
	leaving?: BackendServerId[];
	/** Servers that are cold although their entries do not say so. */
	cold?: ColdServer[];
	/** Usage of the organisations that use most. */
	usage?: ReportedUsage[];
};

/** First byte of an update; heartbeats start with a different one. */
const planUpdatePrefix = 'N';

const planUpdateSchema = z.object({
	service: z.string(),
	node: z.string(),
	notes: z.array(z.looseObject({planId: z.string(), kind: z.enum(['started', 'ended', 'failed', 'server_ended', 'survived'])})),
	active: z.array(z.string()).optional(),
	crashRecords: z.array(z.tuple([z.string(), z.array(z.object({server: z.string(), age: z.number(), weight: z.number()}))])).optional(),
	limits: z.array(z.object({server: z.string(), requestsPerSecond: z.number().min(0).optional(), age: z.number()})).optional(),
	leaving: z.array(z.string()).optional(),
	cold: z.array(z.object({server: z.string(), coldFor: z.number()})).optional(),
	usage: z.array(z.object({
		organisation: z.string(), used: z.number().min(0), asked: z.number().min(0), age: z.number().min(0),
	})).max(maxReportedOrganisations).optional(),
});

/** Encodes an update as a datagram. */
export function encodePlanUpdate(update: PlanUpdate): Uint8Array {
	return Buffer.from(planUpdatePrefix + JSON.stringify(update));
}

/** Checks by the first byte whether a datagram is an update. */
export function isPlanUpdate(message: Uint8Array): boolean {
	return message[0] === planUpdatePrefix.codePointAt(0);
}

/** Decodes an update; throws on a malformed datagram. */
export function decodePlanUpdate(message: Uint8Array): PlanUpdate {
	return planUpdateSchema.parse(JSON.parse(Buffer.from(message.subarray(1)).toString())) as unknown as PlanUpdate;
}
