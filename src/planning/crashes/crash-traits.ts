/** Traits of requests that crashes of backend servers are attributed to. Pure. */
import type {CrashTrait, PromptPartTrait} from '../../common/index.js';
import type {PlanRequest} from '../plan.js';

/** Separates the digest of a prompt part from that of the organisation; digests don't contain it. */
const separator = '.';

/** Formats the trait of a prompt part in requests of one organisation, from digests of both. */
export function formatPartTrait(partDigest: string, organisationDigest: string): PromptPartTrait {
	return `${partDigest}${separator}${organisationDigest}` as PromptPartTrait;
}

/** The digest of the prompt part, which other organisations may send too; undefined for whole requests. */
export function findPartDigest(trait: CrashTrait): string | undefined {
	const end = trait.indexOf(separator);
	return end === -1 ? undefined : trait.slice(0, end);
}

/** Lists the traits of a request, or of an event that concerns some of them. */
export function listTraits({fingerprint, parts = []}: Pick<PlanRequest, 'fingerprint' | 'parts'>): CrashTrait[] {
	return fingerprint === undefined ? parts : [fingerprint, ...parts];
}
