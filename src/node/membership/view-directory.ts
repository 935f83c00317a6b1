/** Lookups of dispatchers in the fleet view, with policies compiled once per change. */
import type {
	Logger, OrganisationId, PartnerId, PoolId,
} from '../../common/index.js';
import {
	compilePolicy, defaultPolicy, formatPolicyProblem, type Policy, type PolicyProblem,
} from '../../policy/index.js';
import type {FleetView} from '../config/index.js';
import {PoolDirectory, type OrganisationSettings} from '../dispatch/index.js';

/** Looks up the configuration in the fleet view. */
export class ViewDirectory extends PoolDirectory {
	readonly #view: FleetView;
	readonly #logger: Logger;
	readonly #policies = new Map<PartnerId, Policy>();

	constructor(view: FleetView, logger: Logger) {
		super();
		this.#view = view;
		this.#logger = logger;
		view.addListener(kind => {
			if (kind === 'Policy') {
				this.#policies.clear();
			}
		});
	}

	override findOrganisation(organisation: OrganisationId): OrganisationSettings {
		const found = this.#view.find('Organisation', organisation);
		return {
			partner: (found?.partner ?? 'unknown') as PartnerId,
			requestsPerMinute: found?.requestsPerMinute,
			tokensPerMinute: found?.tokensPerMinute,
		};
	}

	override findPolicy(partner: PartnerId): Policy {
		let policy = this.#policies.get(partner);
		if (policy === undefined) {
			policy = this.#compile(partner);
			this.#policies.set(partner, policy);
		}

		return policy;
	}

	override findShare(pool: PoolId, partner: PartnerId): number {
		const agreement = this.#view.find('ShareAgreement', pool);
		// Without an agreement all partners are equal; a partner missing from it gets its smallest share.
		const shares = Object.values(agreement?.shares ?? {});
		return agreement?.shares[partner] ?? (shares.length === 0 ? 1 : Math.min(...shares));
	}

	#compile(partner: PartnerId): Policy {
		const stored = this.#view.find('Policy', partner);
		if (stored === undefined) {
			return defaultPolicy;
		}

		const compiled = compilePolicy(stored.programs);
		if (compiled.isLeft()) {
			this.#logProblems(partner, compiled.extract());
			return defaultPolicy;
		}

		return compiled.extract() as Policy;
	}

	#logProblems(partner: PartnerId, problems: PolicyProblem[]): void {
		this.#logger.error({event: 'policy_unusable', partner, problems: problems.map(problem => formatPolicyProblem(problem))}, 'a stored policy cannot be used; the default policy applies');
	}
}
