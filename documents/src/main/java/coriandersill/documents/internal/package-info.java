/** Strict reading of JSON that collects every problem. */
package coriandersill.documents.internal;
