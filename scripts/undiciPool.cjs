"use strict";

// Stands in for "undici" in the bundle of the gateway host, which uses only its connection pool. The whole library takes a
// tenth of the processor time of a start.
const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Pool = require("undici/lib/dispatcher/pool.js");

// As in the library's own entry point, the methods for requests are added to the base class.
Object.assign(Dispatcher.prototype, require("undici/lib/api/index.js"));

module.exports = { Pool };
