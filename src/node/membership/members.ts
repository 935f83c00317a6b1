/** The nodes of the system as seen by this node, combined from all sources. */
import type {BoxId, Incarnation} from '../../common/index.js';
import type {ViewEntry, FleetView} from '../config/index.js';

/** A registered node. */
export type Member = {
	box: BoxId;
	incarnation: Incarnation;
	region: string;
	availabilityZone: string;
	callerUrl: string;
	nodeUrl: string;
};

/** Combines registrations, the platform's list of live boxes, announcements of peers and failed pings. */
export class Members {
	readonly #view: FleetView;
	readonly #leaving = new Set<Incarnation>();
	readonly #suspected = new Set<Incarnation>();
	#version = 0;
	/** Computed once per change: with 400 nodes, computing it on every read took most of a core (docs/CAPACITY.md). */
	#cached: {all: Member[]; ready: Member[]; readyIds: Set<Incarnation>} | undefined;

	constructor(view: FleetView) {
		this.#view = view;
		view.addListener(kind => {
			if (kind === 'Node' || kind === 'LiveBox') {
				this.#invalidate();
			}
		});
	}

	/** Incremented whenever the results of this object may have changed. */
	get version(): number {
		return this.#version;
	}

	/** Lists all registered nodes, in any state. */
	listAll(): Member[] {
		return this.#read().all;
	}

	/** Lists the nodes that can receive callers and take over pools. */
	listReady(): Member[] {
		return this.#read().ready;
	}

	/** Whether an incarnation is the current one of its box and no source reports it as gone or leaving. */
	isReady(incarnation: Incarnation): boolean {
		return this.#read().readyIds.has(incarnation);
	}

	/** Whether the box of an incarnation is missing from the platform's list of live boxes. */
	isDropped(incarnation: Incarnation): boolean {
		const member = this.listAll().find(candidate => candidate.incarnation === incarnation);
		return member === undefined || (this.#view.list('LiveBox').length > 0 && !this.#view.list('LiveBox').some(box => box.name === member.box));
	}

	/** Records that a node has announced that it is leaving. */
	recordLeaving(incarnation: Incarnation): void {
		this.#leaving.add(incarnation);
		this.#invalidate();
	}

	/** Records whether a node answers pings. */
	recordReachability(incarnation: Incarnation, isReachable: boolean): void {
		if (isReachable === !this.#suspected.has(incarnation)) {
			return;
		}

		if (isReachable) {
			this.#suspected.delete(incarnation);
		} else {
			this.#suspected.add(incarnation);
		}

		this.#invalidate();
	}

	/** Removes records of incarnations that are no longer registered. */
	prune(): void {
		const known = new Set(this.listAll().map(member => member.incarnation));
		for (const incarnations of [this.#leaving, this.#suspected]) {
			for (const incarnation of incarnations) {
				if (!known.has(incarnation)) {
					incarnations.delete(incarnation);
				}
			}
		}
	}

	#invalidate(): void {
		this.#version++;
		this.#cached = undefined;
	}

	#read(): {all: Member[]; ready: Member[]; readyIds: Set<Incarnation>} {
		this.#cached ??= this.#compute();
		return this.#cached;
	}

	#compute(): {all: Member[]; ready: Member[]; readyIds: Set<Incarnation>} {
		const nodes = this.#view.list('Node');
		const live = new Set(this.#view.list('LiveBox').filter(box => box.state === 'live').map(box => box.name));
		// A platform without a list of live boxes gives no information about any node.
		const hasList = this.#view.list('LiveBox').length > 0;
		const ready = nodes
			.filter(node => node.state === 'ready' && (!hasList || live.has(node.name)))
			.map(node => toMember(node))
			.filter(member => !this.#leaving.has(member.incarnation) && !this.#suspected.has(member.incarnation));
		return {all: nodes.map(node => toMember(node)), ready, readyIds: new Set(ready.map(member => member.incarnation))};
	}
}

function toMember(node: ViewEntry<'Node'>): Member {
	return {
		box: node.name as BoxId,
		incarnation: node.incarnation as Incarnation,
		region: node.region,
		availabilityZone: node.availabilityZone,
		callerUrl: node.callerUrl,
		nodeUrl: node.nodeUrl,
	};
}
