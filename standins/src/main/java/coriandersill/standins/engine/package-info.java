/**
 * Stand-ins for upstreams that count what they execute: a model engine with the completions API and a plain service.
 */
package coriandersill.standins.engine;
