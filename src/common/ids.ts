/** Branded identifiers: plain strings at run time, distinct types when compiled. */
import {randomUUID} from 'node:crypto';

declare const brand: unique symbol;

type Branded<Name extends string> = string & {readonly [brand]: Name};

/** Name of a partner, for example `meteotessera`. */
export type PartnerId = Branded<'PartnerId'>;
/** Name of an organisation, unique in the system. */
export type OrganisationId = Branded<'OrganisationId'>;
/** Name of a service; callers write it as the `model` of a request. */
export type ServiceName = Branded<'ServiceName'>;
/** One service in one region, written `service@region`. */
export type PoolId = Branded<'PoolId'>;
/** Name under which a backend server registers; it may start again under the same one. */
export type BackendServerName = Branded<'BackendServerName'>;
/** One life of a backend server, unique in the system: its name, and where it tells one its start. */
export type BackendServerId = Branded<'BackendServerId'>;
/** Name of the box on which a node runs. */
export type BoxId = Branded<'BoxId'>;
/** Name of an availability zone. */
export type AvailabilityZone = Branded<'AvailabilityZone'>;
/** One life of one node process: `random.address`, both URL-safe. */
export type Incarnation = Branded<'Incarnation'>;
/** One request as the system knows it, unique for ever. */
export type RequestId = Branded<'RequestId'>;
/** One grant given by a dispatcher. */
export type GrantId = Branded<'GrantId'>;
/** One plan: a place that a planner has given to a request. */
export type PlanId = Branded<'PlanId'>;
/** Identifies a request across retries: a digest of its method, path, caller and body. */
export type RequestFingerprint = Branded<'RequestFingerprint'>;
/** A caller's key for a request that may run at most once. */
export type RunKey = Branded<'RunKey'>;

/** Where fresh identifiers come from; tests pass a counting source. */
export type IdSource = {
	createUuid(): string;
};

/** Random version 4 UUIDs. */
export const randomIdSource: IdSource = {createUuid: () => randomUUID()};

/** Names the pool of a service in a region. */
export function formatPoolId(service: ServiceName, region: string): PoolId {
	return `${service}@${region}` as PoolId;
}
