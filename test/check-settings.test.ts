import {expect, test} from '@jest/globals';
import {formatProblem, parseSettings} from '../src/settings/index.js';

const minimal = {
	box: 'box = "box-1"',
	region: 'region = "sic-east"',
	zone: 'availability_zone = "catania-a"',
	callers: 'callers = {host = "10.0.0.5", port = 8080}',
	operators: 'operators = {host = "10.0.0.5", port = 8081}',
	nodes: 'nodes = {host = "10.0.0.5", port = 8082, secret = "a-secret-shared-by-all-nodes"}',
	platform: 'platform = {url = "http://10.0.0.1:6443"}',
	entry: '',
};

function write(changes: Partial<typeof minimal>): string {
	return Object.values({...minimal, ...changes}).join('\n');
}

function listProblems(text: string): string[] {
	const parsed = parseSettings(text);
	return parsed.isLeft() ? parsed.extract().map(problem => formatProblem(problem)) : [];
}

test('a minimal file gets the documented defaults', () => {
	const settings = parseSettings(write({})).unsafeCoerce();
	expect(settings.entry).toEqual({
		addressLifetimeSeconds: 30,
		runKeyLifetimeSeconds: 600,
		bodyLimitMebibytes: 16,
		heldBodiesMebibytes: 256,
		keptOutcomesMebibytes: 64,
		requestLimit: 2000,
		retryShare: 0.1,
	});
	expect(settings.log.level).toBe('info');
	expect(settings.metrics).toBeUndefined();
});

test.each([
	['a missing key', {box: ''}, 'box = (missing): add this key: write a name in quotes'],
	['a misspelt key', {zone: 'availability_zone = "a"\nregoin = "x"'}, 'regoin = "x": take this key out, or correct its spelling; docs/SETTINGS.md lists the keys'],
	['a host name instead of an IP address', {callers: 'callers = {host = "localhost"}'}, 'callers.host = "localhost": write an IP number such as "10.0.0.5"; names are not looked up'],
	['a port out of range', {callers: 'callers = {host = "10.0.0.5", port = 70000}'}, 'callers.port = 70000: write a whole number from 0 to 65535; 0 takes a free port'],
	['a short secret, without showing it', {nodes: 'nodes = {host = "10.0.0.5", secret = "short"}'}, 'nodes.secret = (hidden): use at least 16 characters'],
	['a bad URL', {platform: 'platform = {url = "ftp://x"}'}, 'platform.url = "ftp://x": write a URL such as "http://10.0.0.1:6443"'],
	[
		'a run key lifetime below the address lifetime',
		{entry: 'entry = {address_lifetime_seconds = 700}'},
		'entry.run_key_lifetime_seconds = 600: make it at least address_lifetime_seconds (700), else keys end before the addresses they came with',
	],
	['a string instead of a number', {entry: 'entry = {request_limit = "many"}'}, 'entry.request_limit = "many": write a whole number from 1 to 100000'],
])('reports the key, the value and the fix of %s', (_name, changes, line) => {
	expect(listProblems(write(changes))).toEqual([line]);
});

test('reports the line and column of invalid TOML', () => {
	expect(listProblems('box = "a\n')[0]).toMatch(/^settings = line 1, column \d+: write valid TOML: /);
});

test('reports all problems at once', () => {
	expect(listProblems(write({box: 'box = 7', region: 'region = "UPPER"'}))).toHaveLength(2);
});
