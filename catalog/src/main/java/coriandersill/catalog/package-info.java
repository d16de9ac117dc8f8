/** What operators declare for calls that an entry carries to upstreams itself. */
package coriandersill.catalog;
