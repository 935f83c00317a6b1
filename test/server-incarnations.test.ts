import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	createSilentLogger, VirtualClock, type AvailabilityZone, type BackendServerId, type BackendServerName, type ServiceName,
} from '../src/common/index.js';
import {
	FleetState, reregistrationGrace, type BackendServer, type Change,
} from '../src/routing/index.js';

const app = 'app' as ServiceName;

/** An entry of a server at a revision of the source. */
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

/** A node that knows a server that leaves. */
function createStateWithLeavingServer(): ReturnType<typeof createState> {
	const created = createState();
	created.state.applyServerList({items: [createEntry('i-1', 1, 3)], revision: 3}, 'source');
	created.state.applyServerChanges([createChange(createEntry('i-1', 1, 4, {isLeaving: true}))], 4, 'source');
	expect(listIds(created.state)).toEqual([]);
	return created;
}

const secondIncarnation = createEntry('i-1', 2, 6);

// A server that was drained and started again under its name stayed "leaving" for good: the loss that the same answer
// brought back was left out, and whoever leaves leaves. A rollout that keeps names would have taken a service away.
test('a server that leaves and is back in one answer, in two, or without a loss, takes work again', () => {
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

test('a list and another node\'s view bring the new life as a change does', () => {
	const listed = createStateWithLeavingServer();
	listed.state.applyServerList({items: [secondIncarnation], revision: 7}, 'source');
	const synced = createStateWithLeavingServer();
	synced.state.applyServers(listed.state.getServersSnapshot(0)!, 'node');
	expect([listIds(listed.state), listIds(synced.state), synced.restarted]).toEqual([['i-1@2'], ['i-1@2'], ['i-1@1']]);
});

test('an entry of the earlier life that comes late changes nothing, wherever it comes from', () => {
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

// Attempts at a server that has restarted are given up.
test('no restart is told for a life that lapses and comes back, for entries of an earlier one, or for an overwritten one', () => {
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

test('a restart is told when the clock of its server was set back meanwhile', () => {
	const {state, restarted} = createState();
	state.applyServerList({items: [secondIncarnation], revision: 6}, 'source');
	state.applyServerChanges([createChange(createEntry('i-1', 1, 7))], 7, 'source');
	expect([restarted, listIds(state)]).toEqual([['i-1@2'], ['i-1@1']]);
});

test('one life that leaves holds to it, and another life of its name may leave, too', () => {
	const {state} = createStateWithLeavingServer();
	state.applyServerChanges([createChange(createEntry('i-1', 1, 5))], 5, 'source');
	expect(listIds(state)).toEqual([]);
	state.applyServerChanges([createChange(createEntry('i-1', 2, 6, {isLeaving: true}))], 6, 'source');
	expect([listIds(state), state.hasServer('i-1@2' as BackendServerId)]).toEqual([[], true]);
});

test('a server whose entry somebody else overwrites takes no new work until its own is back', () => {
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

test('a foreign entry in a list keeps its server from work and does not end it; one that names no known server is nothing', () => {
	const {state} = createState();
	state.applyServerList({items: [createEntry('i-1', 1, 3)], revision: 3}, 'source');
	state.applyServerList({items: [], foreign: ['i-1', 'whoever'], revision: 5}, 'source');
	expect([listIds(state), state.hasServer('i-1@1' as BackendServerId), state.foreignCount]).toEqual([[], true, 2]);
	state.applyServerList({items: [], revision: 6}, 'source');
	expect([state.hasServer('i-1@1' as BackendServerId), state.foreignCount]).toEqual([false, 0]);
});

test('an entry that gives one life another service is none of its own', () => {
	const {state} = createState();
	state.applyServerList({items: [createEntry('i-1', 1, 3)], revision: 3}, 'source');
	state.applyServerChanges([createChange(createEntry('i-1', 1, 4, {service: 'other' as ServiceName, isLeaving: true}))], 4, 'source');
	expect([listIds(state), state.listServers('other' as ServiceName)]).toEqual([[], []]);
	state.applyServerChanges([createChange(createEntry('i-1', 1, 5))], 5, 'source');
	expect(listIds(state)).toEqual(['i-1@1']);
});

/** What happens to one entry at the source. */
type EntryStep = {name: string; kind: 'start' | 'drain' | 'lapse' | 'overwrite' | 'rewrite'};

/** A source with its history, as followers see it. */
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

/** A node that may read the source, and may hear from others. */
class SimulatedNode {
	readonly clock = new VirtualClock();
	readonly state = new FleetState(this.clock, createSilentLogger());
	#knownRevision: number | undefined;
	/** Answers of the source and of other nodes that are still on their way; of each kind the latest asked for comes last. */
	readonly #pendingAnswers: Array<() => void> = [];

	read(history: EntryHistory, isListed: boolean): void {
		this.requestSource(history, isListed);
		this.receiveAll();
	}

	syncFrom(other: SimulatedNode): void {
		this.requestSnapshot(other);
		this.receiveAll();
	}

	/** A source gives one answer at a time: what is asked anew is asked for by what was read last. */
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

	/** All that is on its way comes, however late. */
	receiveAll(): void {
		for (const take of this.#pendingAnswers.splice(0)) {
			take();
		}
	}
}

test('whatever starts, leaves, lapses and is overwritten, and whoever hears of it how and how late, all nodes use the ready lives in the end', () => {
	const entryStep = fc.record({name: fc.constantFrom('a', 'b', 'c'), kind: fc.constantFrom<EntryStep['kind']>('start', 'start', 'drain', 'lapse', 'overwrite', 'rewrite')});
	const nodeStep = fc.record({node: fc.nat(2), how: fc.constantFrom('list', 'read', 'hear', 'outage', 'return', 'askList', 'askChanges', 'askNode', 'receive', 'wait'), from: fc.nat(2)});
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
					hear() {
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
