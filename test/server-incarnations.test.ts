import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	createSilentLogger, VirtualClock, type AvailabilityZone, type BackendServerId, type BackendServerName, type ServiceName,
} from '../src/common/index.js';
import {
	createPosition, FleetState, reregistrationGrace, type BackendServer, type Change,
} from '../src/routing/index.js';

const app = 'app' as ServiceName;

/** Creates an entry of a server at a revision of the source. */
function createEntry(name: string, born: number, entryRevision: number, changes: Partial<BackendServer> = {}): BackendServer {
	return {
		id: `${name}@${born}` as BackendServerId,
		name: name as BackendServerName,
		entryRevision,
		service: app,
		address: `10.0.0.1:${born}`,
		availabilityZone: 'a' as AvailabilityZone,
		slots: 4,
		isLeaving: false,
		...changes,
	};
}

function createChange(item: BackendServer): Change<BackendServer> {
	return {name: item.name, item, revision: item.entryRevision};
}

function createState(): {state: FleetState; clock: VirtualClock; restarted: string[]} {
	const clock = new VirtualClock();
	const state = new FleetState(clock, createSilentLogger());
	const restarted: string[] = [];
	state.addRestartListener(ended => restarted.push(ended.id));
	return {state, clock, restarted};
}

function listIds(state: FleetState): string[] {
	return state.listServers(app).map(server => server.id).sort();
}

/** Creates the state of a node that knows one server, which is leaving. */
function createStateWithLeavingServer(): ReturnType<typeof createState> {
	const created = createState();
	created.state.applyServerList({items: [createEntry('i-1', 1, 3)], revision: 3}, 'source');
	created.state.applyServerChanges([createChange(createEntry('i-1', 1, 4, {isLeaving: true}))], 4, 'source');
	expect(listIds(created.state)).toEqual([]);
	return created;
}

const secondIncarnation = createEntry('i-1', 2, 6);

// Guards against a restarted server that stays "leaving" permanently: its removal is dropped because the same answer adds
// it again, so the new incarnation must not inherit the state of the old one. A rollout that keeps names would
// otherwise leave a service without servers.
test('a server that leaves and restarts gets requests again, with removal and new entry in one answer, in two, or without a removal', () => {
	const answers: Array<Array<Array<Change<BackendServer>>>> = [
		[[{name: 'i-1', item: undefined}, createChange(secondIncarnation)]],
		[[{name: 'i-1', item: undefined}], [createChange(secondIncarnation)]],
		[[createChange(secondIncarnation)]],
	];
	for (const answer of answers) {
		const {state, restarted} = createStateWithLeavingServer();
		for (const [index, changes] of answer.entries()) {
			state.applyServerChanges(changes, 7 + index - answer.length, 'source');
		}

		expect([listIds(state), restarted.length]).toEqual([['i-1@2'], answer.length === 2 ? 0 : 1]);
		expect([state.findUsableServer('i-1@1' as BackendServerId), state.hasServer('i-1@1' as BackendServerId)]).toEqual([undefined, false]);
	}
});

test('a list and another node\'s snapshot replace the incarnation as a change does', () => {
	const listed = createStateWithLeavingServer();
	listed.state.applyServerList({items: [secondIncarnation], revision: 7}, 'source');
	const synced = createStateWithLeavingServer();
	synced.state.applyServers(listed.state.getServersSnapshot(0)!, 'node');
	expect([listIds(listed.state), listIds(synced.state), synced.restarted]).toEqual([['i-1@2'], ['i-1@2'], ['i-1@1']]);
});

test('a late entry of the previous incarnation is ignored, regardless of its origin', () => {
	const late = createEntry('i-1', 1, 4, {isLeaving: true});
	const applyLateEntry: Array<(state: FleetState) => void> = [
		state => {
			state.applyServerChanges([createChange(late)], 8, 'source');
		},
		state => {
			state.applyServers({revision: 8, items: [late]}, 'node');
		},
		state => {
			state.applyServerList({items: [late], revision: 8}, 'source');
		},
		state => {
			state.applyServerChanges([{name: 'i-1', item: undefined, revision: 4}], 8, 'source');
		},
	];
	for (const apply of applyLateEntry) {
		const {state, clock} = createState();
		state.applyServerList({items: [secondIncarnation], revision: 6}, 'source');
		apply(state);
		clock.advance(reregistrationGrace + 1);
		expect(listIds(state)).toEqual(['i-1@2']);
	}
});

// A reported restart aborts the attempts at the previous incarnation, so a false one would abort running requests.
test('no restart is reported for an incarnation that expires and registers again, for entries of an earlier one, or for an overwritten one', () => {
	const {state, restarted} = createState();
	state.applyServerList({items: [secondIncarnation], revision: 6}, 'source');
	state.applyServerChanges([{name: 'i-1', item: undefined, revision: 6}], 7, 'source');
	state.applyServerChanges([createChange(createEntry('i-1', 2, 8))], 8, 'source');
	state.applyServerList({items: [createEntry('i-1', 1, 5)], revision: 9}, 'source');
	state.applyServers({revision: 10, items: [createEntry('i-1', 1, 5)]}, 'node');
	state.applyServerChanges([{
		name: 'i-1', item: undefined, revision: 11, isForeign: true,
	}], 11, 'source');
	state.applyServerChanges([createChange(createEntry('i-1', 2, 12))], 12, 'source');
	expect([restarted, listIds(state)]).toEqual([[], ['i-1@2']]);
});

test('a restart is reported when the server\'s clock was set back', () => {
	const {state, restarted} = createState();
	state.applyServerList({items: [secondIncarnation], revision: 6}, 'source');
	state.applyServerChanges([createChange(createEntry('i-1', 1, 7))], 7, 'source');
	expect([restarted, listIds(state)]).toEqual([['i-1@2'], ['i-1@1']]);
});

test('a leaving incarnation stays so, and the next one of its name may leave too', () => {
	const {state} = createStateWithLeavingServer();
	state.applyServerChanges([createChange(createEntry('i-1', 1, 5))], 5, 'source');
	expect(listIds(state)).toEqual([]);
	state.applyServerChanges([createChange(createEntry('i-1', 2, 6, {isLeaving: true}))], 6, 'source');
	expect([listIds(state), state.hasServer('i-1@2' as BackendServerId)]).toEqual([[], true]);
});

test('a server whose entry is overwritten gets no new requests until its own entry is back', () => {
	const {state} = createState();
	state.applyServerList({items: [createEntry('i-1', 1, 3), createEntry('i-2', 1, 3)], revision: 3}, 'source');
	state.applyServerChanges([{
		name: 'i-1', item: undefined, revision: 4, isForeign: true,
	}], 4, 'source');
	expect([listIds(state), state.hasServer('i-1@1' as BackendServerId), state.foreignCount]).toEqual([['i-2@1'], true, 1]);
	const other = createState();
	other.state.applyServers(state.getServersSnapshot(0)!, 'node');
	expect(listIds(other.state)).toEqual(['i-2@1']);
	state.applyServerChanges([createChange(createEntry('i-1', 1, 5))], 5, 'source');
	other.state.applyServers(state.getServersSnapshot(4)!, 'node');
	expect([listIds(state), listIds(other.state), state.foreignCount]).toEqual([['i-1@1', 'i-2@1'], ['i-1@1', 'i-2@1'], 0]);
});

test('a foreign entry in a list stops new requests to its server but does not remove it; one of an unknown name is only counted', () => {
	const {state} = createState();
	state.applyServerList({items: [createEntry('i-1', 1, 3)], revision: 3}, 'source');
	state.applyServerList({items: [], foreign: ['i-1', 'whoever'], revision: 5}, 'source');
	expect([listIds(state), state.hasServer('i-1@1' as BackendServerId), state.foreignCount]).toEqual([[], true, 2]);
	state.applyServerList({items: [], revision: 6}, 'source');
	expect([state.hasServer('i-1@1' as BackendServerId), state.foreignCount]).toEqual([false, 0]);
});

test('an entry that changes the service of an incarnation is foreign', () => {
	const {state} = createState();
	state.applyServerList({items: [createEntry('i-1', 1, 3)], revision: 3}, 'source');
	state.applyServerChanges([createChange(createEntry('i-1', 1, 4, {service: 'other' as ServiceName, isLeaving: true}))], 4, 'source');
	expect([listIds(state), state.listServers('other' as ServiceName)]).toEqual([[], []]);
	state.applyServerChanges([createChange(createEntry('i-1', 1, 5))], 5, 'source');
	expect(listIds(state)).toEqual(['i-1@1']);
});

/** A change of one entry at the source. */
type EntryStep = {name: string; kind: 'start' | 'drain' | 'lapse' | 'overwrite' | 'rewrite'};

/** A simulated source with the complete history of its entries. */
class EntryHistory {
	readonly changes: Array<Change<BackendServer> & {at: number}> = [];
	readonly #entries = new Map<string, {own: BackendServer; isForeign: boolean}>();
	#born = 0;

	get revision(): number {
		return this.changes.length;
	}

	apply({name, kind}: EntryStep): void {
		const revision = this.revision + 1;
		const known = this.#entries.get(name);
		if (kind === 'start') {
			this.#put(createEntry(name, ++this.#born, revision));
		} else if (known !== undefined && kind === 'lapse') {
			this.#entries.delete(name);
			this.changes.push({name, item: undefined, at: revision});
		} else if (known !== undefined && kind === 'overwrite') {
			this.#entries.set(name, {own: known.own, isForeign: true});
			this.changes.push({
				name, item: undefined, isForeign: true, revision, at: revision,
			});
		} else if (known !== undefined) {
			this.#put({...known.own, entryRevision: revision, isLeaving: known.own.isLeaving || kind === 'drain'});
		}
	}

	list(): {items: BackendServer[]; foreign: string[]; revision: number} {
		const entries = [...this.#entries];
		return {
			items: entries.flatMap(([, {own, isForeign}]) => isForeign ? [] : own),
			foreign: entries.flatMap(([name, {isForeign}]) => isForeign ? name : []),
			revision: this.revision,
		};
	}

	listUsable(): string[] {
		return this.list().items.filter(server => !server.isLeaving).map(server => server.id).sort();
	}

	#put(own: BackendServer): void {
		this.#entries.set(own.name, {own, isForeign: false});
		this.changes.push({
			name: own.name, item: own, revision: own.entryRevision, at: own.entryRevision,
		});
	}
}

/** A node that reads the source and gets snapshots of other nodes, with delayed answers. */
class SimulatedNode {
	readonly clock = new VirtualClock();
	readonly state = new FleetState(this.clock, createSilentLogger());
	#knownRevision: number | undefined;
	/** Answers of the source and of other nodes in transit, in the order of their requests. */
	readonly #pendingAnswers: Array<() => void> = [];

	read(history: EntryHistory, isListed: boolean): void {
		this.requestSource(history, isListed);
		this.receiveAll();
	}

	syncFrom(other: SimulatedNode): void {
		this.requestSnapshot(other);
		this.receiveAll();
	}

	/** Requests a list or the changes since the known revision; an answer from any other revision is dropped, as a follower has one request at a time. */
	requestSource(history: EntryHistory, isListed: boolean): void {
		const from = isListed ? undefined : this.#knownRevision;
		const {revision} = history;
		const listing = history.list();
		const changes = history.changes.filter(change => from !== undefined && change.at > from);
		this.#pendingAnswers.push(() => {
			if (from === undefined) {
				this.state.applyServerList(listing, 'source');
			} else if (from === this.#knownRevision) {
				this.state.applyServerChanges(changes, revision, 'source');
			} else {
				return;
			}

			this.#knownRevision = revision;
		});
	}

	requestSnapshot(other: SimulatedNode): void {
		const snapshot = other.state.getServersSnapshot(this.state.serversRevision);
		if (snapshot !== undefined) {
			this.#pendingAnswers.push(() => {
				this.state.applyServers(snapshot, 'node');
			});
		}
	}

	/** Delivers all answers in transit. */
	receiveAll(): void {
		for (const take of this.#pendingAnswers.splice(0)) {
			take();
		}
	}
}

test('after arbitrary changes of entries, read in any way and with any delay, all nodes end with the ready incarnations', () => {
	const entryStep = fc.record({name: fc.constantFrom('a', 'b', 'c'), kind: fc.constantFrom<EntryStep['kind']>('start', 'start', 'drain', 'lapse', 'overwrite', 'rewrite')});
	const nodeStep = fc.record({node: fc.nat(2), how: fc.constantFrom('list', 'read', 'sync', 'outage', 'return', 'askList', 'askChanges', 'askNode', 'receive', 'wait'), from: fc.nat(2)});
	fc.assert(fc.property(fc.array(fc.oneof(entryStep, nodeStep), {maxLength: 80}), steps => {
		const history = new EntryHistory();
		const nodes = [1, 2, 3].map(() => new SimulatedNode());
		for (const step of steps) {
			if ('kind' in step) {
				history.apply(step);
			} else {
				const node = nodes[step.node];
				const act = {
					list() {
						node.read(history, true);
					},
					read() {
						node.read(history, false);
					},
					sync() {
						node.syncFrom(nodes[step.from]);
					},
					outage() {
						node.state.recordOutage('servers');
					},
					return() {
						node.state.recordRecovery('servers');
					},
					askList() {
						node.requestSource(history, true);
					},
					askChanges() {
						node.requestSource(history, false);
					},
					askNode() {
						node.requestSnapshot(nodes[step.from]);
					},
					receive() {
						node.receiveAll();
					},
					wait() {
						for (const each of nodes) {
							each.clock.advance(reregistrationGrace / 2);
						}
					},
				}[step.how];
				act();
			}
		}

		for (const node of nodes) {
			node.receiveAll();
		}

		nodes[0].state.recordRecovery('servers');
		nodes[0].read(history, false);
		nodes[1].state.recordRecovery('servers');
		nodes[1].read(history, true);
		nodes[2].syncFrom(nodes[0]);
		for (const node of nodes) {
			node.clock.advance(reregistrationGrace + 1);
		}

		expect(nodes.slice(0, 2).map(node => listIds(node.state))).toEqual([history.listUsable(), history.listUsable()]);
		expect(listIds(nodes[2].state)).toEqual(history.listUsable());
	}), {seed: 5, numRuns: 1500});
});

test('a server that says that it leaves is not usable, also when its entry is known later, removed or written again', () => {
	const {state} = createState();
	const entry = createEntry('i-1', 1, 3);
	expect(state.markServerLeaving(entry.id, 'answer')).toBe(true);
	expect(state.markServerLeaving(entry.id, 'answer')).toBe(false);
	state.applyServerList({items: [entry], revision: 3}, 'source');
	expect(listIds(state)).toEqual([]);
	expect(state.listLeavingUnannounced(app)).toEqual([entry.id]);
	state.applyServerChanges([{name: entry.name, item: undefined}], 4, 'source');
	expect(state.listLeavingUnannounced(app)).toEqual([]);
	state.applyServerChanges([createChange({...entry, entryRevision: 5})], 5, 'source');
	expect(listIds(state)).toEqual([]);
	expect(state.listLeavingUnannounced(app)).toEqual([entry.id]);
	state.applyServerChanges([createChange({...entry, entryRevision: 6, isLeaving: true})], 6, 'source');
	expect(state.listLeavingUnannounced(app)).toEqual([]);
	state.applyServerChanges([createChange({...secondIncarnation, entryRevision: 7})], 7, 'source');
	expect(listIds(state)).toEqual([secondIncarnation.id]);
});

test('a node that takes over the servers of another one takes over which of them have said that they leave', () => {
	const {state} = createState();
	state.applyServerList({items: [createEntry('i-1', 1, 3), createEntry('i-2', 1, 3)], revision: 3}, 'source');
	state.markServerLeaving('i-1@1' as BackendServerId, 'answer');
	const other = createState().state;
	other.applyServers(state.getServersSnapshot(0)!, 'node');
	expect(listIds(other)).toEqual(['i-2@1']);
});

/** An entry as the source has it after it was restored from a copy: its revision counts in the next era. */
function createCopiedEntry(name: string, born: number, revision: number): BackendServer {
	return createEntry(name, born, createPosition(1, revision));
}

/** Creates the state of a node that knows two servers and has seen the second one go. */
function createStateWithGoneServer(): ReturnType<typeof createState> {
	const created = createState();
	created.state.applyServerList({items: [createEntry('i-1', 1, 3), createEntry('i-2', 1, 4)], revision: 4}, 'source');
	created.state.applyServerChanges([{name: 'i-2', item: undefined}], 5, 'source');
	return created;
}

const copiedList = {items: [createCopiedEntry('i-1', 1, 3), createCopiedEntry('i-2', 1, 4)], revision: createPosition(1, 4)};

test('a server that has gone is not used for five seconds when a restored source has its entry, however often it is listed', () => {
	const {state, clock} = createStateWithGoneServer();
	state.applyServerList(copiedList, 'source');
	clock.advance(2000);
	state.applyServerList(copiedList, 'source');
	expect(listIds(state)).toEqual(['i-1@1']);
	clock.advance(3000);
	expect(listIds(state)).toEqual(['i-1@1', 'i-2@1']);
});

test('a server that had gone is used as soon as it writes its entry in the restored source', () => {
	const {state} = createStateWithGoneServer();
	state.applyServerList(copiedList, 'source');
	state.applyServerChanges([createChange(createCopiedEntry('i-2', 1, 5))], createPosition(1, 5), 'source');
	expect(listIds(state)).toEqual(['i-1@1', 'i-2@1']);
});

test('a node that takes over the servers of a restored source does not use one that has gone, by its own or the other node\'s knowledge', () => {
	const {state} = createStateWithGoneServer();
	state.applyServerList(copiedList, 'source');
	const snapshot = state.getServersSnapshot(0)!;
	const uninformed = createState().state;
	uninformed.applyServers(snapshot, 'node');
	expect(listIds(uninformed)).toEqual(['i-1@1']);
	const informed = createStateWithGoneServer().state;
	informed.applyServers({...snapshot, items: snapshot.items.map(item => ({...item, doubtfulFor: undefined}))}, 'node');
	expect(listIds(informed)).toEqual(['i-1@1']);
});

test('a restored source does not bring back an earlier incarnation of a server, nor one that is leaving', () => {
	const {state, restarted} = createState();
	state.applyServerList({items: [createEntry('i-1', 1, 3), createEntry('i-2', 1, 4)], revision: 4}, 'source');
	state.applyServerChanges([createChange(createEntry('i-1', 2, 5)), createChange(createEntry('i-2', 1, 6, {isLeaving: true}))], 6, 'source');
	state.applyServerList(copiedList, 'source');
	expect(listIds(state)).toEqual(['i-1@2']);
	expect(restarted).toEqual(['i-1@1']);
});

test('servers that a restored source lacks are used while they can register again, and not longer', () => {
	const {state, clock} = createState();
	state.applyServerList({items: [createEntry('i-1', 1, 3), createEntry('i-2', 1, 9)], revision: 9}, 'source');
	state.applyServerList({items: [createCopiedEntry('i-1', 1, 3)], revision: createPosition(1, 4)}, 'source');
	clock.advance(reregistrationGrace - 1);
	expect(listIds(state)).toEqual(['i-1@1', 'i-2@1']);
	clock.advance(1);
	expect(listIds(state)).toEqual(['i-1@1']);
});
