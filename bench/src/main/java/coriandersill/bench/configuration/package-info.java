/** Measures how fast and at what cost a change of the configuration comes into force. */
package coriandersill.bench.configuration;
