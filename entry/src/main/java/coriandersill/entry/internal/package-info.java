/** Implementation of the entry; not part of the public API. */
package coriandersill.entry.internal;
