/** The command-line tool for operators. */
package coriandersill.cli;
