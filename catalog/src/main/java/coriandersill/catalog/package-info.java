/** The configuration that operators declare for calls that entries forward to upstreams without a sidecar. */
package coriandersill.catalog;
