/**
 * Runs the gateway's bundle from V8's code cache, when there is one for this very program.
 *
 * A node that was killed is back only when its program is compiled, and code that was
 * compiled before costs less memory than the compiler does. `build-gateway.js` puts this
 * beside the bundle as `target/cresshook.cjs`; V8 itself refuses a cache of another
 * version, other flags or another source, and compiles as if there were none.
 */
'use strict';

const {existsSync, readFileSync} = require('node:fs');
const {wrap} = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const bundle = path.join(__dirname, 'gateway.cjs');
const cache = path.join(__dirname, 'gateway.cache');

const script = new vm.Script(wrap(readFileSync(bundle, 'utf8')), {
	filename: bundle,
	cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
});
script.runInThisContext().call(module.exports, module.exports, require, module, bundle, __dirname);

module.exports = {script, cache};
