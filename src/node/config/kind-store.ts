/** In-memory stores of the objects of one kind. */
import {Buffer} from 'node:buffer';
import {hashSecret, matchesHash, type OrganisationId} from '../../common/index.js';
import type {PlatformObject, SpecOf} from '../../store/index.js';

/** Store of the objects of one kind by name. */
export abstract class KindStore {
	abstract find(name: string): PlatformObject | undefined;
	abstract list(): Iterable<PlatformObject>;
	/** Version of an object; undefined when it does not exist. */
	abstract findVersion(name: string): number | undefined;
	abstract put(object: PlatformObject): void;
	abstract remove(name: string): void;
	abstract clear(): void;
}

/** Stores objects unchanged in a map. */
export class MapStore extends KindStore {
	readonly #objects = new Map<string, PlatformObject>();

	override find(name: string): PlatformObject | undefined {
		return this.#objects.get(name);
	}

	override list(): Iterable<PlatformObject> {
		return this.#objects.values();
	}

	override findVersion(name: string): number | undefined {
		return this.#objects.get(name)?.metadata.resourceVersion;
	}

	override put(object: PlatformObject): void {
		this.#objects.set(object.metadata.name, object);
	}

	override remove(name: string): void {
		this.#objects.delete(name);
	}

	override clear(): void {
		this.#objects.clear();
	}
}

type CompactOrganisation = {
	version: number;
	partner: string;
	/** One array is shared by all organisations with the same services. */
	services: string[];
	/** SHA-256 of the API keys as Latin-1 strings of 32 characters, which take one byte each. */
	keys: string[];
	requestsPerMinute: number | undefined;
	tokensPerMinute: number | undefined;
};

/** Characters of a key hash that form the index; the full hash is compared in constant time. */
const indexedPrefixLength = 6;

/**
 * Stores organisations compactly and indexes them by API key.
 *
 * 28,000 organisations take 8.4 MiB instead of 15.6 MiB as plain objects. The index is updated
 * incrementally, because rebuilding it took 108 ms for each change (docs/CAPACITY.md).
 */
export class OrganisationStore extends KindStore {
	readonly #organisations = new Map<string, CompactOrganisation>();
	/** Names of the organisations that own keys with a hash prefix. */
	readonly #owners = new Map<string, string | string[]>();
	readonly #services = new Map<string, string[]>();
	readonly #partners = new Map<string, string>();

	override find(name: string): PlatformObject | undefined {
		const compact = this.#organisations.get(name);
		return compact === undefined ? undefined : expand(name, compact);
	}

	override * list(): Iterable<PlatformObject> {
		for (const [name, compact] of this.#organisations) {
			yield expand(name, compact);
		}
	}

	override findVersion(name: string): number | undefined {
		return this.#organisations.get(name)?.version;
	}

	override put(object: PlatformObject): void {
		const {name, resourceVersion} = object.metadata;
		const spec = object.spec as SpecOf<'Organisation'>;
		this.remove(name);
		const keys = spec.keyHashes.map(hash => Buffer.from(hash, 'hex').toString('latin1'));
		this.#organisations.set(name, {
			version: resourceVersion,
			partner: intern(this.#partners, spec.partner, spec.partner),
			services: intern(this.#services, spec.services.join(' '), spec.services),
			keys,
			requestsPerMinute: spec.requestsPerMinute,
			tokensPerMinute: spec.tokensPerMinute,
		});
		for (const key of keys) {
			this.#addOwner(key.slice(0, indexedPrefixLength), name);
		}
	}

	override remove(name: string): void {
		for (const key of this.#organisations.get(name)?.keys ?? []) {
			this.#removeOwner(key.slice(0, indexedPrefixLength), name);
		}

		this.#organisations.delete(name);
	}

	override clear(): void {
		this.#organisations.clear();
		this.#owners.clear();
	}

	/** Finds the organisation that owns an API key. The key itself is not stored. */
	findKeyOwner(key: string): OrganisationId | undefined {
		const prefix = Buffer.from(hashSecret(key).slice(0, indexedPrefixLength * 2), 'hex').toString('latin1');
		const candidates = [this.#owners.get(prefix) ?? []].flat();
		const owner = candidates.find(name => this.#organisations.get(name)?.keys.some(stored => matchesHash(key, Buffer.from(stored, 'latin1').toString('hex'))));
		return owner as OrganisationId | undefined;
	}

	#addOwner(prefix: string, name: string): void {
		const existing = this.#owners.get(prefix);
		this.#owners.set(prefix, existing === undefined ? name : [existing, name].flat());
	}

	#removeOwner(prefix: string, name: string): void {
		const remaining = [this.#owners.get(prefix) ?? []].flat().filter(owner => owner !== name);
		if (remaining.length === 0) {
			this.#owners.delete(prefix);
		} else {
			this.#owners.set(prefix, remaining.length === 1 ? remaining[0] : remaining);
		}
	}
}

function expand(name: string, compact: CompactOrganisation): PlatformObject {
	return {
		kind: 'Organisation',
		metadata: {name, resourceVersion: compact.version},
		spec: {
			partner: compact.partner,
			keyHashes: compact.keys.map(key => Buffer.from(key, 'latin1').toString('hex')),
			services: compact.services,
			requestsPerMinute: compact.requestsPerMinute,
			tokensPerMinute: compact.tokensPerMinute,
		},
	};
}

/** Returns the value already pooled under a key, or adds it, so that equal values share memory. */
function intern<Value>(pool: Map<string, Value>, key: string, value: Value): Value {
	const first = pool.get(key) ?? value;
	pool.set(key, first);
	return first;
}
