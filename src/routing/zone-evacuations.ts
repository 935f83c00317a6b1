/**
 * The availability zones that operators evacuate: their servers get no new requests. Pure except for the clock.
 *
 * The set is ordered by the position in the history of the source up to which it is known, regardless of the sender. It does not
 * change while the source is down. After the source was restored from a copy, an evacuation that the copy lacks is kept for
 * a while, and one that the copy still has is in force until its removal is written again: a zone without traffic for
 * seconds costs less than requests in a zone that is being emptied.
 */
import type {AvailabilityZone, Clock, Logger} from '../common/index.js';
import type {Changes, Listing} from './fleet-source.js';
import type {ZoneEvacuation} from './model.js';
import {formatPosition, readEra} from './source-position.js';

/** How long an evacuation that a restored source has lost is kept, in milliseconds: its operator has this time to write it again. */
export const lostEvacuationRetention = 5000;

/** Maximum size of the zones in a snapshot, in characters: snapshots are sent in datagrams. */
const maxSnapshotLength = 4000;

/** Maximum length of a zone, in characters: no server has a longer one. */
const maxZoneLength = 256;

/** An evacuated zone as nodes send it to each other; times in milliseconds. */
export type SnapshotZone = {
	zone: AvailabilityZone;
	/** Position of the write. */
	position: number;
	/** Time since a node first knew of it. */
	age: number;
	/** Time until it ends unless it is written again; present if a restored source has lost it. */
	keptFor?: number;
};

/** All evacuated zones at a position. */
export type EvacuationsSnapshot = {revision: number; zones: SnapshotZone[]};

/** An evacuated zone as this node knows it; times in milliseconds. */
export type EvacuatedZone = SnapshotZone & {
	/** `source`, or the node that sent it. */
	origin: string;
};

type KnownZone = {position: number; origin: string; since: number; keptUntil?: number};

/** Dependencies of the evacuated zones. */
export type ZoneEvacuationsParts = {clock: Clock; logger: Logger; onChange: () => void};

/** The evacuated zones known to a node. */
export class ZoneEvacuations {
	readonly #parts: ZoneEvacuationsParts;
	readonly #zones = new Map<AvailabilityZone, KnownZone>();
	/** Position up to which changes are known. */
	#revision: number | undefined;

	constructor(parts: ZoneEvacuationsParts) {
		this.#parts = parts;
	}

	/** Whether the evacuated zones have been received, from the source or from another node. */
	get isKnown(): boolean {
		return this.#revision !== undefined;
	}

	/** Whether a zone is evacuated. */
	has(zone: AvailabilityZone): boolean {
		if (this.#zones.size === 0) {
			return false;
		}

		this.#dropExpired();
		return this.#zones.has(zone);
	}

	/** Lists the evacuated zones, oldest write first. */
	list(): EvacuatedZone[] {
		this.#dropExpired();
		const now = this.#parts.clock.readMonotonic();
		return [...this.#zones]
			.map(([zone, {position, origin, since, keptUntil}]) => ({
				zone, position, origin, age: Math.round(now - since), ...(keptUntil !== undefined && {keptFor: Math.floor(keptUntil - now)}),
			}))
			.sort((left, right) => left.position - right.position);
	}

	/** Applies a complete list of the source. A foreign entry counts like any other: operators evacuate a zone by the name of an object. */
	applyList({items, foreign = [], revision}: Listing<ZoneEvacuation>, origin: string): void {
		const listed = new Map([
			...foreign.map((name): [AvailabilityZone, SnapshotZone] => [name as AvailabilityZone, {zone: name as AvailabilityZone, position: revision, age: 0}]),
			...items.map(({zone, position}): [AvailabilityZone, SnapshotZone] => [zone, {zone, position, age: 0}]),
		]);
		this.#replace(listed, revision, origin);
	}

	/** Applies changes of the source up to a position. */
	applyChanges({changes, revision}: Changes<ZoneEvacuation>, origin: string): void {
		const known = this.#revision;
		if (known === undefined || revision < known) {
			return;
		}

		let isChanged = false;
		for (const {name, item, isForeign, revision: changedAt} of changes) {
			const zone = name as AvailabilityZone;
			if (item !== undefined || isForeign === true) {
				// A snapshot may already hold later changes; an older write must not bring back an evacuation that has ended.
				const position = changedAt ?? revision;
				isChanged = (position > known && this.#put({zone, position, age: 0}, origin)) || isChanged;
			} else if (changedAt === undefined || changedAt >= (this.#zones.get(zone)?.position ?? Infinity)) {
				isChanged = this.#remove(zone, origin) || isChanged;
			}
		}

		this.#revision = revision;
		this.#notifyIf(isChanged);
	}

	/** Applies another node's set unless this node's own is as late. */
	applySnapshot({revision, zones}: EvacuationsSnapshot, origin: string): void {
		if (this.#revision === undefined || revision > this.#revision) {
			this.#replace(new Map(zones.map(entry => [entry.zone, entry])), revision, origin);
		}
	}

	/** Returns the set for other nodes; undefined while it is not known. */
	takeSnapshot(): EvacuationsSnapshot | undefined {
		if (this.#revision === undefined) {
			return undefined;
		}

		let length = 0;
		const zones = this.list().map(({origin, ...entry}) => entry).filter(entry => {
			length += JSON.stringify(entry).length;
			return length <= maxSnapshotLength;
		});
		return {revision: this.#revision, zones};
	}

	#replace(listed: ReadonlyMap<AvailabilityZone, SnapshotZone>, revision: number, origin: string): void {
		const known = this.#revision;
		if (known !== undefined && revision < known) {
			return;
		}

		this.#dropExpired();
		const isRestored = known !== undefined && readEra(revision) > readEra(known);
		let isChanged = known === undefined;
		for (const entry of listed.values()) {
			isChanged = this.#put(entry, origin) || isChanged;
		}

		for (const [zone, entry] of this.#zones) {
			if (!listed.has(zone)) {
				isChanged = this.#handleMissing(zone, entry, {revision, isRestored, origin}) || isChanged;
			}
		}

		this.#revision = revision;
		this.#notifyIf(isChanged);
	}

	/** Handles a known zone that a set lacks; returns whether it was removed. */
	#handleMissing(zone: AvailabilityZone, entry: KnownZone, {revision, isRestored, origin}: {revision: number; isRestored: boolean; origin: string}): boolean {
		if (isRestored && entry.keptUntil === undefined) {
			entry.keptUntil = this.#parts.clock.readMonotonic() + lostEvacuationRetention;
			this.#parts.logger.warn({
				event: 'zone_evacuation_lost', zone, position: formatPosition(entry.position), origin, keptFor: lostEvacuationRetention,
			}, 'the restored source has lost an evacuation; it stays in force for a while');
		}

		// A list may hold entries that were written after its position; an earlier set does not end them.
		return entry.keptUntil === undefined && entry.position <= revision && this.#remove(zone, origin);
	}

	/** Puts a zone in; returns whether it is new. */
	#put({zone, position, age, keptFor}: SnapshotZone, origin: string): boolean {
		const now = this.#parts.clock.readMonotonic();
		const before = this.#zones.get(zone);
		if (zone.length > maxZoneLength || (before !== undefined && position < before.position)) {
			return false;
		}

		// Of two nodes that keep a lost evacuation the earlier end counts, so that they do not prolong it for each other.
		const keptUntil = keptFor === undefined ? undefined : Math.min(before?.keptUntil ?? Infinity, now + keptFor);
		this.#zones.set(zone, {
			position, origin: before?.origin ?? origin, since: Math.min(before?.since ?? Infinity, now - age), keptUntil,
		});
		if (before === undefined) {
			this.#parts.logger.warn({
				event: 'zone_evacuated', zone, position: formatPosition(position), origin, age: Math.round(age),
			}, 'an availability zone is being evacuated; its servers get no new requests');
		}

		return before === undefined;
	}

	#remove(zone: AvailabilityZone, origin: string): boolean {
		const before = this.#zones.get(zone);
		if (before === undefined) {
			return false;
		}

		this.#zones.delete(zone);
		this.#parts.logger.warn({
			event: 'zone_returned', zone, position: formatPosition(before.position), origin, evacuatedFor: Math.round(this.#parts.clock.readMonotonic() - before.since),
		}, 'the evacuation of an availability zone has ended; its servers get requests again');
		return true;
	}

	#dropExpired(): void {
		const now = this.#parts.clock.readMonotonic();
		const expired = [...this.#zones].filter(([, {keptUntil}]) => keptUntil !== undefined && keptUntil <= now);
		for (const [zone] of expired) {
			this.#remove(zone, 'not written again');
		}

		this.#notifyIf(expired.length > 0);
	}

	#notifyIf(isChanged: boolean): void {
		if (isChanged) {
			this.#parts.onChange();
		}
	}
}
