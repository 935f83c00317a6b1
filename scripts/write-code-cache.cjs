/**
 * Writes V8's code cache of the gateway's bundle: `build-gateway.js` runs it with the flags of a node.
 *
 * The program is loaded and asked for settings that are not there, so that what every start
 * runs is compiled, and nothing listens.
 */
'use strict';

const {rmSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');

const target = path.join(__dirname, '../target');

/** Time after which the refusal of the settings is done, in milliseconds. */
const loadedAfter = 500;

rmSync(path.join(target, 'gateway.cache'), {force: true});
process.argv = [process.argv[0], 'cresshook', 'gateway', '--settings', path.join(target, 'no-such-settings')];
// The refusal of the settings is no news here.
process.stderr.write = () => true;
const {script, cache} = require(path.join(target, 'cresshook.cjs'));

setTimeout(() => {
	writeFileSync(cache, script.createCachedData());
	process.exitCode = 0;
}, loadedAfter);
