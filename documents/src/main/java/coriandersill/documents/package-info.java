/**
 * JSON encoding of configuration documents, of directories of documents, and of the records of the configuration
 * stream.
 */
package coriandersill.documents;
