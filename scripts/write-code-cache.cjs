/**
 * Writes V8's code cache of the gateway's bundle: `build-gateway.js` runs it with the flags of a node.
 *
 * The program is run as far as serving calls first. From a cache of what is run at loading alone, a node on a
 * third of a core took 0.4 to 0.9 s from its start to its first view of the fleet, most of it to compile.
 */
'use strict';

const {rmSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {program, warmStart} = require('./warm-start.cjs');

const target = path.resolve(process.argv[2]);

async function writeCache() {
	rmSync(path.join(target, 'gateway.cache'), {force: true});
	let loaded;
	const start = words => {
		process.argv = [...program, ...words];
		if (loaded === undefined) {
			loaded = require(path.join(target, 'cresshook.cjs'));
			return;
		}

		loaded.run();
	};

	// A node that cannot start ends its process, which is this one.
	const {exit} = process;
	process.exit = () => {}; // eslint-disable-line no-empty-function
	try {
		await warmStart(start);
	} catch (error) {
		// A node starts from it all the same, and compiles the rest.
		process.stderr.write(`the code cache holds a part of what a node runs: ${error.message}\n`);
	}

	process.exit = exit;
	writeFileSync(loaded.cache, loaded.script.createCachedData());
}

writeCache().catch(error => {
	process.stderr.write(`the code cache could not be written: ${error.message}\n`);
	process.exitCode = 1;
}).finally(() => {
	process.exit(); // eslint-disable-line unicorn/no-process-exit -- it is a program; its nodes would keep it alive
});
