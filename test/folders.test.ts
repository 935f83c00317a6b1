// Guards against circular imports between folders of the gateway, which cannot be understood, moved or tested separately.
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {expect, test} from '@jest/globals';

const gateway = new URL('../src/gateway/', import.meta.url).pathname;

function listFolders(): string[] {
	return readdirSync(gateway, {withFileTypes: true}).filter(entry => entry.isDirectory()).map(entry => entry.name);
}

/** Sibling folders from which a folder's modules import, types included. */
function listImported(folder: string): string[] {
	const modules = readdirSync(path.join(gateway, folder)).map(name => readFileSync(path.join(gateway, folder, name), 'utf8'));
	const found = modules.flatMap(text => [...text.matchAll(/from '\.\.\/([^/'.]+)\//g)].map(match => match[1]));
	return [...new Set(found)];
}

/** Folders that import themselves through others. */
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

test('the folders of the gateway have no circular imports', () => {
	const imports = new Map(listFolders().map(folder => [folder, listImported(folder)]));
	expect(imports.get('views')).toContain('peers');
	expect(listCycles(imports)).toEqual([]);
});
