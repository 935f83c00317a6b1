// Two folders of the gateway imported each other, so that neither could be read, moved or tested without the other.
// The folders of a program form an order: whoever imports stands above what it imports.
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect, test} from '@jest/globals';

const gateway = new URL('../src/gateway/', import.meta.url).pathname;

function listFolders(): string[] {
	return readdirSync(gateway, {withFileTypes: true}).filter(entry => entry.isDirectory()).map(entry => entry.name);
}

/** Folders beside a folder that its modules import, types too. */
function listImported(folder: string): string[] {
	const modules = readdirSync(path.join(gateway, folder)).map(name => readFileSync(path.join(gateway, folder, name), 'utf8'));
	const found = modules.flatMap(text => [...text.matchAll(/from '\.\.\/([^/'.]+)\//g)].map(match => match[1]));
	return [...new Set(found)];
}

/** Folders that lead back to themselves. */
function listCycles(imports: Map<string, string[]>): string[] {
	const collect = (folder: string, seen: Set<string>): Set<string> => {
		for (const next of imports.get(folder) ?? []) {
			if (!seen.has(next)) {
				collect(next, seen.add(next));
			}
		}

		return seen;
	};

	return [...imports.keys()].filter(folder => collect(folder, new Set()).has(folder));
}

test('no folder of the gateway imports what imports it', () => {
	const imports = new Map(listFolders().map(folder => [folder, listImported(folder)]));
	expect(imports.get('views')).toContain('peers');
	expect(listCycles(imports)).toEqual([]);
});
