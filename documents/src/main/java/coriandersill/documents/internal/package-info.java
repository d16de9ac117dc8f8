/** Strict parsing and writing of JSON; not for use by callers. */
package coriandersill.documents.internal;
