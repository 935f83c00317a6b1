/**
 * The configuration in force on a node: every object of the platform, indexed.
 *
 * The revision only rises: an event or list older than what is known changes nothing.
 */
import {
	formatPoolId, type BackendServerId, type OrganisationId, type PoolId, type ServiceName,
} from '../../common/index.js';
import type {
	ObjectKind, ObjectList, PlatformObject, SpecOf, WatchEvent,
} from '../../store/index.js';
import {OrganisationStore, MapStore, type KindStore} from './kind-store.js';

/** A named object with its version. */
export type ViewEntry<Kind extends ObjectKind> = SpecOf<Kind> & {name: string; version: number};

/** Called after objects of a kind have changed. */
export type ViewListener = (kind: ObjectKind) => void;

/** The objects known, by kind and name. */
export class FleetView {
	#revision = 0;
	readonly #organisations = new OrganisationStore();
	readonly #stores = new Map<ObjectKind, KindStore>([['Organisation', this.#organisations]]);
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

		const kinds = new Set<ObjectKind>([...this.#stores.keys(), ...list.objects.map(object => object.kind)]);
		this.#deleted.clear();
		// What this node has written since the list was made is newer than the list.
		const newer = [...this.#stores.values()].flatMap(store => [...store.list()].filter(object => object.metadata.resourceVersion > list.resourceVersion));
		for (const store of this.#stores.values()) {
			store.clear();
		}

		for (const object of [...list.objects, ...newer]) {
			this.#findStore(object.kind).put(object);
		}

		this.#revision = list.resourceVersion;
		this.#notify(kinds);
	}

	/** Applies one change seen by the watch. */
	applyEvent(event: WatchEvent): void {
		this.#apply(event);
		this.#revision = Math.max(this.#revision, event.object.metadata.resourceVersion);
	}

	/**
	 * Applies the answer of a write or read of this node's own.
	 *
	 * The revision stays: changes by others between it and this one may still be on
	 * their way, and a watch that breaks now must go on from before them.
	 */
	applyStored(object: PlatformObject): void {
		this.#apply({type: 'MODIFIED', object});
	}

	/** Finds an object by kind and name. */
	find<Kind extends ObjectKind>(kind: Kind, name: string): ViewEntry<Kind> | undefined {
		const object = this.#stores.get(kind)?.find(name);
		return object === undefined ? undefined : createEntry<Kind>(object);
	}

	/** Lists the objects of a kind. */
	list<Kind extends ObjectKind>(kind: Kind): Array<ViewEntry<Kind>> {
		return [...this.#stores.get(kind)?.list() ?? []].map(object => createEntry<Kind>(object));
	}

	/** Finds the organisation that owns a key. The key itself is not kept. */
	findKeyOwner(key: string): OrganisationId | undefined {
		return this.#organisations.findKeyOwner(key);
	}

	/** Lists the backend servers of a service. */
	listServers(service: ServiceName): Array<ViewEntry<'BackendServer'> & {id: BackendServerId}> {
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

	#apply(event: WatchEvent): void {
		const {object} = event;
		const {name, resourceVersion} = object.metadata;
		const key = `${object.kind}/${name}`;
		const knownVersion = this.#findStore(object.kind).findVersion(name) ?? this.#deleted.get(key) ?? 0;
		if (resourceVersion <= knownVersion) {
			return;
		}

		if (event.type === 'DELETED') {
			this.#findStore(object.kind).remove(name);
			this.#deleted.set(key, resourceVersion);
		} else {
			this.#findStore(object.kind).put(object);
			this.#deleted.delete(key);
		}

		this.#notify([object.kind]);
	}

	#findStore(kind: ObjectKind): KindStore {
		const store = this.#stores.get(kind) ?? new MapStore();
		this.#stores.set(kind, store);
		return store;
	}

	#notify(kinds: Iterable<ObjectKind>): void {
		for (const kind of kinds) {
			for (const listener of this.#listeners) {
				listener(kind);
			}
		}
	}
}

function createEntry<Kind extends ObjectKind>(object: PlatformObject): ViewEntry<Kind> {
	const {name, resourceVersion} = object.metadata;
	const entry: unknown = {...object.spec, name, version: resourceVersion};
	return entry as ViewEntry<Kind>;
}
