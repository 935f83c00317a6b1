/**
 * The parts of undici that a gateway uses.
 *
 * Its index loads everything, from WebSockets to a cache: a third of the start-up time and
 * ten megabytes of a node that only needs clients of HTTP/1.1. `build-gateway.js` puts this in its place.
 */
'use strict';

const Dispatcher = require('undici/lib/dispatcher/dispatcher');
const Agent = require('undici/lib/dispatcher/agent');
const Client = require('undici/lib/dispatcher/client');
const buildConnector = require('undici/lib/core/connect');
const request = require('undici/lib/api/api-request');

Object.assign(Dispatcher.prototype, {request});

module.exports = {Agent, Client, buildConnector};
