/** Identifiers, error kinds, clocks and lifecycle interfaces shared by every library. */
package coriandersill.core;
