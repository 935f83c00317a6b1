/** Lookups of a dispatcher in the current configuration. */
import type {OrganisationId, PartnerId, PoolId} from '../../common/index.js';
import {defaultPolicy, type Policy} from '../../policy/index.js';

/** Configuration of an organisation. */
export type OrganisationSettings = {
	partner: PartnerId;
	/** Maximum requests per minute to a pool; absent when unlimited. */
	requestsPerMinute?: number;
	/** Maximum tokens per minute to a pool, prompt and maximum output together; absent when unlimited. */
	tokensPerMinute?: number;
};

/** Looks up the current configuration. */
export abstract class PoolDirectory {
	abstract findOrganisation(organisation: OrganisationId): OrganisationSettings;
	abstract findPolicy(partner: PartnerId): Policy;
	/** Agreed share of a partner in a pool, relative to the shares of the other partners. */
	abstract findShare(pool: PoolId, partner: PartnerId): number;
}

/** A directory with one partner, the default policy and no limits. */
export class EqualDirectory extends PoolDirectory {
	override findOrganisation(): OrganisationSettings {
		return {partner: 'everyone' as PartnerId};
	}

	override findPolicy(): Policy {
		return defaultPolicy;
	}

	override findShare(): number {
		return 1;
	}
}
