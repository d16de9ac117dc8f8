/** Decides what counts as an upstream's response, and whether the end of a response shows that it is complete. */
package coriandersill.responses;
