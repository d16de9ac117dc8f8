/** The commands of the tool; not for use by callers. */
package coriandersill.cli.internal;
