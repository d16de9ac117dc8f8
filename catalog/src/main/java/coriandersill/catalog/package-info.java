/** The configuration that operators declare for calls that entries forward to upstreams directly. */
package coriandersill.catalog;
