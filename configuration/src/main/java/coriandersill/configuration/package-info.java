/** Configuration model: typed documents, the rules for accepting change sets, and the immutable accepted state. */
package coriandersill.configuration;
