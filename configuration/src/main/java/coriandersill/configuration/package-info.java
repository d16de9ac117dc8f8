/** Accepted configuration: typed documents and the immutable view that every process serves from. */
package coriandersill.configuration;
