/**
 * Indexed copy of all platform objects: the configuration that a node applies.
 *
 * The revision never decreases; outdated events and lists are ignored.
 */
import {
	formatPoolId, type BackendServerId, type OrganisationId, type PoolId, type ServiceName,
} from '../../common/index.js';
import type {
	ObjectKind, ObjectList, PlatformObject, SpecOf, WatchEvent,
} from '../../store/index.js';
import {OrganisationStore, MapStore, type KindStore} from './kind-store.js';

/** Spec of an object with its name and version. */
export type ViewEntry<Kind extends ObjectKind> = SpecOf<Kind> & {name: string; version: number};

/** Callback that is invoked after objects of a kind have changed. */
export type ViewListener = (kind: ObjectKind) => void;

/** Stores the known objects by kind and name. */
export class FleetView {
	#revision = 0;
	readonly #organisations = new OrganisationStore();
	readonly #stores = new Map<ObjectKind, KindStore>([['Organisation', this.#organisations]]);
	readonly #listeners = new Set<ViewListener>();
	/** Versions of deleted objects, so that a delayed event does not restore them. */
	readonly #deleted = new Map<string, number>();

	/** Version of the latest list or watch event applied; 0 before the first list. */
	get revision(): number {
		return this.#revision;
	}

	/** Registers a listener for changes. */
	addListener(listener: ViewListener): void {
		this.#listeners.add(listener);
	}

	/** Applies a complete list. Ignores a list that is older than the current revision. */
	applyList(list: ObjectList): void {
		if (list.resourceVersion < this.#revision) {
			return;
		}

		const kinds = new Set<ObjectKind>([...this.#stores.keys(), ...list.objects.map(object => object.kind)]);
		this.#deleted.clear();
		// Writes of this node that are newer than the list must be preserved.
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

	/** Applies a change reported by the watch. */
	applyEvent(event: WatchEvent): void {
		this.#apply(event);
		this.#revision = Math.max(this.#revision, event.object.metadata.resourceVersion);
	}

	/**
	 * Applies an object that this node has written or read itself.
	 *
	 * Does not change the revision: earlier changes by other nodes may not have been received
	 * yet, and a watch that is resumed must not skip them.
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

	/** Finds the organisation that owns an API key. The key itself is not stored. */
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
