/**
 * Stands in the gateway's bundle for the schema compilers of Fastify.
 *
 * No route of the gateway has a schema; a route that gets one fails at start with this error.
 */
'use strict';

function refuseSchema() {
	throw new Error('the gateway is bundled without schema compilers; take the schema out, or take scripts/no-schemas.cjs out of scripts/build-gateway.js');
}

function selectCompiler() {
	return refuseSchema;
}

module.exports = selectCompiler;
module.exports.default = selectCompiler;
module.exports.SerializerSelector = selectCompiler;
module.exports.AjvCompiler = selectCompiler;
