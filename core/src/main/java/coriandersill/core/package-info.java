/** Identifiers, error kinds, clocks and lifecycle, shared by every library. */
package coriandersill.core;
