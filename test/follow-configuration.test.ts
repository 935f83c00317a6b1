import {expect, test} from '@jest/globals';
import {
	createSilentLogger, hashSecret, type OrganisationId, type PartnerId, type PoolId, type Incarnation,
} from '../src/common/index.js';
import {FleetView} from '../src/node/config/index.js';
import {Members, ViewDirectory} from '../src/node/membership/index.js';
import {
	platformObjectSchema, type PlatformObject, type PlatformObjectInput, type WatchEvent,
} from '../src/store/index.js';

function make(input: PlatformObjectInput, resourceVersion: number): PlatformObject {
	return platformObjectSchema.parse({...input, metadata: {...input.metadata, resourceVersion}});
}

function organisation(name: string, keys: string[], version: number, services: string[] = []): PlatformObject {
	return make({kind: 'Organisation', metadata: {name}, spec: {partner: 'meteotessera', keyHashes: keys.map(key => hashSecret(key)), services}}, version);
}

function modified(object: PlatformObject): WatchEvent {
	return {type: 'MODIFIED', object};
}

function node(box: string, state: 'ready' | 'leaving', version: number): PlatformObject {
	return make({
		kind: 'Node',
		metadata: {name: box},
		spec: {
			incarnation: `${box}.life`, region: 'r', availabilityZone: 'a', callerUrl: `http://${box}`, nodeUrl: `http://${box}`, state,
		},
	}, version);
}

test('a replayed or older event changes nothing, and the revision never falls', () => {
	const view = new FleetView();
	view.applyEvent(modified(organisation('o', ['new'], 5)));
	view.applyEvent(modified(organisation('o', ['old'], 3)));
	view.applyEvent(modified(organisation('p', ['p'], 4)));
	expect(view.revision).toBe(5);
	expect([view.findKeyOwner('new'), view.findKeyOwner('old'), view.findKeyOwner('p')]).toEqual(['o', undefined, 'p']);
});

test('an older list changes nothing', () => {
	const view = new FleetView();
	view.applyList({objects: [organisation('o', ['new'], 8)], resourceVersion: 8});
	view.applyList({objects: [organisation('o', ['old'], 3)], resourceVersion: 7});
	expect([view.revision, view.findKeyOwner('new'), view.findKeyOwner('old')]).toEqual([8, 'o', undefined]);
});

test('a late event does not bring a deleted object back', () => {
	const view = new FleetView();
	view.applyEvent(modified(organisation('o', ['key'], 5)));
	view.applyEvent({type: 'DELETED', object: organisation('o', ['key'], 9)});
	view.applyEvent(modified(organisation('o', ['key'], 7)));
	expect(view.findKeyOwner('key')).toBeUndefined();
	view.applyEvent(modified(organisation('o', ['key'], 10)));
	expect(view.findKeyOwner('key')).toBe('o');
});

test('a newer list drops what is no longer in it', () => {
	const view = new FleetView();
	view.applyEvent(modified(organisation('o', ['o'], 5)));
	view.applyList({objects: [organisation('p', ['p'], 6)], resourceVersion: 9});
	expect([view.findKeyOwner('o'), view.findKeyOwner('p')]).toEqual([undefined, 'p']);
});

test('a changed key is in force with its change', () => {
	const view = new FleetView();
	view.applyEvent(modified(organisation('o', ['one', 'two'], 5, ['s'])));
	view.applyEvent(modified(organisation('o', ['two', 'three'], 6, ['s', 't'])));
	expect(['one', 'two', 'three'].map(key => view.findKeyOwner(key))).toEqual([undefined, 'o', 'o']);
	expect(view.find('Organisation', 'o')).toMatchObject({services: ['s', 't'], version: 6});
});

test('a partner\'s policy comes into force with its change, and an unusable one leaves the defaults', () => {
	const view = new FleetView();
	const directory = new ViewDirectory(view, createSilentLogger());
	const context = {
		request: {
			promptTokens: 1, outputTokens: 1, service: 's', bound: 1,
		},
		organisation: {name: 'o', running: 0, tokensHeld: 0},
		pool: {name: 'p', freeShare: 1, waiting: 0},
		now: {hour: 0, minute: 0, weekday: 0},
	};
	const weigh = () => directory.findPolicy('meteotessera' as PartnerId).evaluateWeight(context);
	const change = (weight: string, version: number) => {
		view.applyEvent(modified(make({kind: 'Policy', metadata: {name: 'meteotessera'}, spec: {partner: 'meteotessera', programs: {weight}}}, version)));
	};

	expect(weigh()).toBe(1);
	change('3.0', 1);
	expect(weigh()).toBe(3);
	change('nonsense', 2);
	expect(weigh()).toBe(1);
	expect(directory.findPolicy('harvest' as PartnerId).evaluateWeight(context)).toBe(1);
});

test('shares are equal until agreed, and a partner left out has the least', () => {
	const view = new FleetView();
	const directory = new ViewDirectory(view, createSilentLogger());
	const share = (partner: string) => directory.findShare('s@r' as PoolId, partner as PartnerId);
	expect([share('a'), share('b')]).toEqual([1, 1]);
	view.applyEvent(modified(make({kind: 'ShareAgreement', metadata: {name: 's@r'}, spec: {shares: {a: 3, b: 2}}}, 1)));
	expect([share('a'), share('b'), share('c')]).toEqual([3, 2, 2]);
	expect(directory.findOrganisation('nobody' as OrganisationId).partner).toBe('unknown');
});

test('every source that says a node is gone takes it out', () => {
	const view = new FleetView();
	const members = new Members(view);
	for (const [index, box] of ['a', 'b', 'c', 'd', 'e'].entries()) {
		view.applyEvent(modified(node(box, 'ready', index + 1)));
		view.applyEvent(modified(make({kind: 'LiveBox', metadata: {name: box}, spec: {state: 'live'}}, index + 10)));
	}

	const listReady = () => members.listReady().map(member => member.box).join('');
	expect(listReady()).toBe('abcde');
	view.applyEvent(modified(node('a', 'leaving', 20)));
	view.applyEvent(modified(make({kind: 'LiveBox', metadata: {name: 'b'}, spec: {state: 'leaving'}}, 21)));
	view.applyEvent({type: 'DELETED', object: make({kind: 'LiveBox', metadata: {name: 'c'}, spec: {state: 'live'}}, 22)});
	members.recordLeaving('d.life' as Incarnation);
	members.recordReachability('e.life' as Incarnation, false);
	expect(listReady()).toBe('');
	members.recordReachability('e.life' as Incarnation, true);
	expect(listReady()).toBe('e');
	expect([members.isDropped('a.life' as Incarnation), members.isDropped('c.life' as Incarnation), members.isDropped('a.earlier' as Incarnation)]).toEqual([false, true, true]);
});

test('a write of the node\'s own does not let it skip the changes of others before it', () => {
	const view = new FleetView();
	view.applyList({objects: [], resourceVersion: 10});
	view.applyStored(node('a', 'ready', 13));
	expect([view.revision, view.list('Node').length]).toEqual([10, 1]);
	// The watch breaks here and goes on from the revision: the changes of others come after all.
	view.applyEvent(modified(organisation('o', ['key'], 11)));
	view.applyEvent(modified(node('a', 'leaving', 9)));
	expect([view.revision, view.findKeyOwner('key'), view.find('Node', 'a')?.state]).toEqual([11, 'o', 'ready']);
});

test('a list made before a write of the node\'s own does not undo it', () => {
	const view = new FleetView();
	view.applyStored(node('a', 'leaving', 13));
	view.applyList({objects: [node('a', 'ready', 4), organisation('o', ['key'], 5)], resourceVersion: 12});
	expect([view.revision, view.find('Node', 'a')?.state, view.findKeyOwner('key')]).toEqual([12, 'leaving', 'o']);
});
