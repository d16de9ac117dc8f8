/** A program that embeds admission without a daemon. */
package coriandersill.examples.admission;
