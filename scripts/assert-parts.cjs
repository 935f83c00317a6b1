/**
 * `node:assert` with a message for every failed assertion.
 *
 * Without one, Node.js parses the source file to quote the failed expression, which blocks the event loop for seconds
 * in the long lines of a bundle. `replace-assert.js` puts this in its place.
 */
'use strict';

const assert = require('node:assert');

function ok(value, message = 'assertion failed') {
	assert.ok(value, message);
}

module.exports = Object.assign(ok, assert, {ok});
