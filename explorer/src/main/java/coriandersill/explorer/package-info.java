/** A deterministic explorer of interleavings over processes that pause, die and lose answers. */
package coriandersill.explorer;
