/**
 * The configuration in force on a node: every object of the platform, indexed.
 *
 * The revision only rises: an event or list older than what is known changes nothing.
 */
import {
	matchesHash, hashSecret, type BackendServerId, type OrganisationId, type PoolId, type ServiceName, formatPoolId,
} from '../../common/index.js';
import type {
	ObjectKind, ObjectList, PlatformObject, SpecOf, WatchEvent,
} from '../../platform/index.js';

/** Hexadecimal digits of a key hash by which organisations are indexed; the rest is compared in constant time. */
const hashPrefixLength = 8;

/** A named object with its version. */
export type Entry<Kind extends ObjectKind> = SpecOf<Kind> & {name: string; version: number};

type KeyOwner = {keyHash: string; organisation: OrganisationId};

/** Called after objects of a kind have changed. */
export type ViewListener = (kind: ObjectKind) => void;

/** The objects known, by kind and name. */
export class FleetView {
	#revision = 0;
	readonly #objects = new Map<ObjectKind, Map<string, PlatformObject>>();
	readonly #keyOwners = new Map<string, KeyOwner[]>();
	readonly #listeners = new Set<ViewListener>();
	/** Versions of objects seen deleted, so that a late event does not bring them back. */
	readonly #deleted = new Map<string, number>();

	/** The version of the newest change applied; 0 before the first full list. */
	get revision(): number {
		return this.#revision;
	}

	/** Subscribes to changes. */
	addListener(listener: ViewListener): void {
		this.#listeners.add(listener);
	}

	/** Applies a full list. A list older than the revision in force changes nothing. */
	applyList(list: ObjectList): void {
		if (list.resourceVersion < this.#revision) {
			return;
		}

		const kinds = new Set<ObjectKind>([...this.#objects.keys(), ...list.objects.map(object => object.kind)]);
		this.#objects.clear();
		this.#deleted.clear();
		for (const object of list.objects) {
			this.#kindOf(object.kind).set(object.metadata.name, object);
		}

		this.#revision = list.resourceVersion;
		this.#notify(kinds);
	}

	/** Applies one change seen by the watch, or the answer of a write of this node's own. */
	applyEvent(event: WatchEvent): void {
		const {object} = event;
		const {name, resourceVersion} = object.metadata;
		const key = `${object.kind}/${name}`;
		const known = this.#kindOf(object.kind).get(name)?.metadata.resourceVersion ?? this.#deleted.get(key) ?? 0;
		if (resourceVersion <= known) {
			return;
		}

		if (event.type === 'DELETED') {
			this.#kindOf(object.kind).delete(name);
			this.#deleted.set(key, resourceVersion);
		} else {
			this.#kindOf(object.kind).set(name, object);
			this.#deleted.delete(key);
		}

		this.#revision = Math.max(this.#revision, resourceVersion);
		this.#notify([object.kind]);
	}

	/** Finds an object by kind and name. */
	find<Kind extends ObjectKind>(kind: Kind, name: string): Entry<Kind> | undefined {
		const object = this.#objects.get(kind)?.get(name);
		return object === undefined ? undefined : toEntry<Kind>(object);
	}

	/** Lists the objects of a kind. */
	list<Kind extends ObjectKind>(kind: Kind): Array<Entry<Kind>> {
		return [...this.#objects.get(kind)?.values() ?? []].map(object => toEntry<Kind>(object));
	}

	/** Finds the organisation that owns a key. The key itself is not kept. */
	findKeyOwner(key: string): OrganisationId | undefined {
		const candidates = this.#keyOwners.get(hashSecret(key).slice(0, hashPrefixLength)) ?? [];
		return candidates.find(candidate => matchesHash(key, candidate.keyHash))?.organisation;
	}

	/** Lists the backend servers of a service. */
	listServers(service: ServiceName): Array<Entry<'BackendServer'> & {id: BackendServerId}> {
		return this.list('BackendServer')
			.filter(server => server.service === service)
			.map(server => ({...server, id: server.name as BackendServerId}));
	}

	/** Lists the pools of a region. */
	listPools(region: string): PoolId[] {
		return this.list('Service')
			.filter(service => service.region === region)
			.map(service => formatPoolId(service.name as ServiceName, region));
	}

	#kindOf(kind: ObjectKind): Map<string, PlatformObject> {
		let objects = this.#objects.get(kind);
		if (objects === undefined) {
			objects = new Map();
			this.#objects.set(kind, objects);
		}

		return objects;
	}

	#notify(kinds: Iterable<ObjectKind>): void {
		for (const kind of kinds) {
			if (kind === 'Organisation') {
				this.#indexKeys();
			}

			for (const listener of this.#listeners) {
				listener(kind);
			}
		}
	}

	#indexKeys(): void {
		this.#keyOwners.clear();
		for (const organisation of this.list('Organisation')) {
			for (const keyHash of organisation.keyHashes) {
				const prefix = keyHash.slice(0, hashPrefixLength);
				const owners = this.#keyOwners.get(prefix) ?? [];
				owners.push({keyHash, organisation: organisation.name as OrganisationId});
				this.#keyOwners.set(prefix, owners);
			}
		}
	}
}

function toEntry<Kind extends ObjectKind>(object: PlatformObject): Entry<Kind> {
	const {name, resourceVersion} = object.metadata;
	const entry: unknown = {...object.spec, name, version: resourceVersion};
	return entry as Entry<Kind>;
}
