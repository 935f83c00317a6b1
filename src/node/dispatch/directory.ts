/** What a dispatcher asks of the configuration in force. */
import type {OrganisationId, PartnerId, PoolId} from '../../common/index.js';
import {defaultPolicy, type Policy} from '../../policy/index.js';

/** What is declared of an organisation. */
export type OrganisationSettings = {
	partner: PartnerId;
	/** Requests a minute it may send to a pool; absent where not limited. */
	requestsPerMinute?: number;
	/** Tokens a minute it may send to a pool, prompt and longest output. */
	tokensPerMinute?: number;
};

/** Looks up the configuration in force. */
export abstract class PoolDirectory {
	abstract findOrganisation(organisation: OrganisationId): OrganisationSettings;
	abstract findPolicy(partner: PartnerId): Policy;
	/** Agreed share of a partner in a pool, relative to the others' shares. */
	abstract findShare(pool: PoolId, partner: PartnerId): number;
}

/** A directory in which all are equal. */
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
