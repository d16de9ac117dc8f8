/** Strict parsing and writing of JSON; not part of the public API. */
package coriandersill.documents.internal;
