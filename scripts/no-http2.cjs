/** Stands in the gateway's bundle for Node.js's HTTP/2, as undici itself does where there is none. */
'use strict';

module.exports = {constants: {}};
