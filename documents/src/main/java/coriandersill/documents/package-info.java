/** The JSON form of configuration documents, of an operator's directory of them, and of the records on the log. */
package coriandersill.documents;
