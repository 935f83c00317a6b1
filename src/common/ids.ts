/** Branded identifiers: strings at run time, distinct types to the compiler. */
import {randomUUID} from 'node:crypto';

declare const brand: unique symbol;

type Branded<Name extends string> = string & {readonly [brand]: Name};

/** Name of a partner, for example `meteotessera`. */
export type PartnerId = Branded<'PartnerId'>;
/** Name of an organisation, unique in the system. */
export type OrganisationId = Branded<'OrganisationId'>;
/** Name of a service; callers send it as the `model` of a request. */
export type ServiceName = Branded<'ServiceName'>;
/** Pool of backend servers of one service in one region, written `service@region`. */
export type PoolId = Branded<'PoolId'>;
/** Name under which a backend server registers; a restarted server may reuse it. */
export type BackendServerName = Branded<'BackendServerName'>;
/** One run of a backend server, unique in the system: its name and, if reported, an identifier of its start. */
export type BackendServerId = Branded<'BackendServerId'>;
/** Name of the box (machine) on which a node runs. */
export type BoxId = Branded<'BoxId'>;
/** Name of an availability zone. */
export type AvailabilityZone = Branded<'AvailabilityZone'>;
/** One run of a node process: `random.address`, both URL-safe. */
export type Incarnation = Branded<'Incarnation'>;
/** Globally unique id of a request. */
export type RequestId = Branded<'RequestId'>;
/** Id of a grant: the permission of a dispatcher to run a request on a backend server. */
export type GrantId = Branded<'GrantId'>;
/** Id of a plan: the placement of a request chosen by a planner. */
export type PlanId = Branded<'PlanId'>;
/** Identifies a request across retries: a digest of its method, path, caller and body. */
export type RequestFingerprint = Branded<'RequestFingerprint'>;
/** Name that a caller gives to a part of a prompt; callers share names of common parts. */
export type PromptPartId = Branded<'PromptPartId'>;
/** A prompt part in requests of one organisation, as a digest of both. */
export type PromptPartTrait = Branded<'PromptPartTrait'>;
/** What requests that crash backend servers may have in common: the whole request, or a part of its prompt. */
export type CrashTrait = RequestFingerprint | PromptPartTrait;
/** Idempotency key of a request that must run at most once. */
export type RunKey = Branded<'RunKey'>;

/** Generator of unique identifiers; tests pass a deterministic one. */
export type IdSource = {
	createUuid(): string;
};

/** Random version 4 UUIDs. */
export const randomIdSource: IdSource = {createUuid: () => randomUUID()};

/** Formats the pool id of a service in a region. */
export function formatPoolId(service: ServiceName, region: string): PoolId {
	return `${service}@${region}` as PoolId;
}
