/** Stand-ins for upstreams, with books of what they ran: a model engine on the completions form and a plain service. */
package coriandersill.standins.engine;
