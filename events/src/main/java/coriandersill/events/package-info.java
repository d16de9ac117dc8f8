/** Numbered log events, each written as one line of JSON through {@link java.lang.System.Logger}. */
package coriandersill.events;
