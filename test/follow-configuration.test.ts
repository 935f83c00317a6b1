import {expect, test} from '@jest/globals';
import {
	createSilentLogger, hashSecret, type OrganisationId, type PartnerId, type PoolId, type Incarnation,
} from '../src/common/index.js';
import {FleetView} from '../src/node/config/index.js';
import {Members, ViewDirectory} from '../src/node/membership/index.js';
import {
	platformObjectSchema, type PlatformObject, type PlatformObjectInput, type WatchEvent,
} from '../src/store/index.js';

function createObject(input: PlatformObjectInput, resourceVersion: number): PlatformObject {
	return platformObjectSchema.parse({...input, metadata: {...input.metadata, resourceVersion}});
}

function createOrganisation(name: string, keys: string[], version: number, services: string[] = []): PlatformObject {
	return createObject({kind: 'Organisation', metadata: {name}, spec: {partner: 'meteotessera', keyHashes: keys.map(key => hashSecret(key)), services}}, version);
}

function createModifiedEvent(object: PlatformObject): WatchEvent {
	return {type: 'MODIFIED', object};
}

function createNode(box: string, state: 'ready' | 'leaving', version: number): PlatformObject {
	return createObject({
		kind: 'Node',
		metadata: {name: box},
		spec: {
			incarnation: `${box}.life`, region: 'r', availabilityZone: 'a', callerUrl: `http://${box}`, nodeUrl: `http://${box}`, state,
		},
	}, version);
}

test('a repeated or outdated event is ignored, and the revision never decreases', () => {
	const view = new FleetView();
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['new'], 5)));
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['old'], 3)));
	view.applyEvent(createModifiedEvent(createOrganisation('p', ['p'], 4)));
	expect(view.revision).toBe(5);
	expect([view.findKeyOwner('new'), view.findKeyOwner('old'), view.findKeyOwner('p')]).toEqual(['o', undefined, 'p']);
});

test('an outdated list is ignored', () => {
	const view = new FleetView();
	view.applyList({objects: [createOrganisation('o', ['new'], 8)], resourceVersion: 8});
	view.applyList({objects: [createOrganisation('o', ['old'], 3)], resourceVersion: 7});
	expect([view.revision, view.findKeyOwner('new'), view.findKeyOwner('old')]).toEqual([8, 'o', undefined]);
});

test('a delayed event does not restore a deleted object', () => {
	const view = new FleetView();
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['key'], 5)));
	view.applyEvent({type: 'DELETED', object: createOrganisation('o', ['key'], 9)});
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['key'], 7)));
	expect(view.findKeyOwner('key')).toBeUndefined();
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['key'], 10)));
	expect(view.findKeyOwner('key')).toBe('o');
});

test('a newer list removes objects that it does not contain', () => {
	const view = new FleetView();
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['o'], 5)));
	view.applyList({objects: [createOrganisation('p', ['p'], 6)], resourceVersion: 9});
	expect([view.findKeyOwner('o'), view.findKeyOwner('p')]).toEqual([undefined, 'p']);
});

test('changed keys and services apply immediately', () => {
	const view = new FleetView();
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['one', 'two'], 5, ['s'])));
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['two', 'three'], 6, ['s', 't'])));
	expect(['one', 'two', 'three'].map(key => view.findKeyOwner(key))).toEqual([undefined, 'o', 'o']);
	expect(view.find('Organisation', 'o')).toMatchObject({services: ['s', 't'], version: 6});
});

test('a changed policy applies immediately, and an invalid one is replaced by the defaults', () => {
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
	const evaluateWeight = () => directory.findPolicy('meteotessera' as PartnerId).evaluateWeight(context);
	const changeWeight = (weight: string, version: number) => {
		view.applyEvent(createModifiedEvent(createObject({kind: 'Policy', metadata: {name: 'meteotessera'}, spec: {partner: 'meteotessera', programs: {weight}}}, version)));
	};

	expect(evaluateWeight()).toBe(1);
	changeWeight('3.0', 1);
	expect(evaluateWeight()).toBe(3);
	changeWeight('nonsense', 2);
	expect(evaluateWeight()).toBe(1);
	expect(directory.findPolicy('harvest' as PartnerId).evaluateWeight(context)).toBe(1);
});

test('shares are equal without an agreement, and a partner missing from it gets the smallest share', () => {
	const view = new FleetView();
	const directory = new ViewDirectory(view, createSilentLogger());
	const findShare = (partner: string) => directory.findShare('s@r' as PoolId, partner as PartnerId);
	expect([findShare('a'), findShare('b')]).toEqual([1, 1]);
	view.applyEvent(createModifiedEvent(createObject({kind: 'ShareAgreement', metadata: {name: 's@r'}, spec: {shares: {a: 3, b: 2}}}, 1)));
	expect([findShare('a'), findShare('b'), findShare('c')]).toEqual([3, 2, 2]);
	expect(directory.findOrganisation('nobody' as OrganisationId).partner).toBe('unknown');
});

test('a node is not ready when any source reports it as gone', () => {
	const view = new FleetView();
	const members = new Members(view);
	for (const [index, box] of ['a', 'b', 'c', 'd', 'e'].entries()) {
		view.applyEvent(createModifiedEvent(createNode(box, 'ready', index + 1)));
		view.applyEvent(createModifiedEvent(createObject({kind: 'LiveBox', metadata: {name: box}, spec: {state: 'live'}}, index + 10)));
	}

	const listReady = () => members.listReady().map(member => member.box).join('');
	expect(listReady()).toBe('abcde');
	view.applyEvent(createModifiedEvent(createNode('a', 'leaving', 20)));
	view.applyEvent(createModifiedEvent(createObject({kind: 'LiveBox', metadata: {name: 'b'}, spec: {state: 'leaving'}}, 21)));
	view.applyEvent({type: 'DELETED', object: createObject({kind: 'LiveBox', metadata: {name: 'c'}, spec: {state: 'live'}}, 22)});
	members.recordLeaving('d.life' as Incarnation);
	members.recordReachability('e.life' as Incarnation, false);
	expect(listReady()).toBe('');
	members.recordReachability('e.life' as Incarnation, true);
	expect(listReady()).toBe('e');
	expect([members.isDropped('a.life' as Incarnation), members.isDropped('c.life' as Incarnation), members.isDropped('a.earlier' as Incarnation)]).toEqual([false, true, true]);
});

test('a write of the node itself does not skip earlier changes by others', () => {
	const view = new FleetView();
	view.applyList({objects: [], resourceVersion: 10});
	view.applyStored(createNode('a', 'ready', 13));
	expect([view.revision, view.list('Node').length]).toEqual([10, 1]);
	// The watch fails here and resumes from the revision, so the earlier changes by others still arrive.
	view.applyEvent(createModifiedEvent(createOrganisation('o', ['key'], 11)));
	view.applyEvent(createModifiedEvent(createNode('a', 'leaving', 9)));
	expect([view.revision, view.findKeyOwner('key'), view.find('Node', 'a')?.state]).toEqual([11, 'o', 'ready']);
});

test('a list older than a write of the node itself does not revert it', () => {
	const view = new FleetView();
	view.applyStored(createNode('a', 'leaving', 13));
	view.applyList({objects: [createNode('a', 'ready', 4), createOrganisation('o', ['key'], 5)], resourceVersion: 12});
	expect([view.revision, view.find('Node', 'a')?.state, view.findKeyOwner('key')]).toEqual([12, 'leaving', 'o']);
});
