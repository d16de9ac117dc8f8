/** Numbered log events, written as one JSON line each through {@link java.lang.System.Logger}. */
package coriandersill.events;
