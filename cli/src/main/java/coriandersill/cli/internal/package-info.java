/** The commands of the tool; not part of the public API. */
package coriandersill.cli.internal;
