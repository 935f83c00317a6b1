/**
 * The parts of prom-client that a gateway uses.
 *
 * Its index loads the metrics of clusters and the push gateway, and with them Node.js's modules of child processes,
 * TLS and HTTPS. `build-gateway.js` puts this in its place.
 */
'use strict';

const Registry = require('prom-client/lib/registry');
const Counter = require('prom-client/lib/counter');
const Gauge = require('prom-client/lib/gauge');
const Histogram = require('prom-client/lib/histogram');

module.exports = {
	Counter, Gauge, Histogram, Registry,
};
